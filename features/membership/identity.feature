Feature: One identity for each run of a process, over a network in memory

  Scenario: A replacement under the same address supersedes the old process at once
    # Guards against requests sent or attributed to the old process. An instance is replaced and its
    # node starts with the same addresses. Probes of the old identity reach the new process, which
    # replies with its own record in place of an ack.
    Given a membership network with seed 21 and 20 nodes
    When 10 seconds of membership pass
    And membership node 3 is replaced under its address
    And 2 seconds of membership pass
    Then every running node sees the replacement of node 3 as "ready"
    And no running node holds membership node 3 as alive

  Scenario: A replacement whose clock is behind still supersedes the old process
    # Guards against a new node that gets no requests. Incarnations start at the wall clock, so this
    # replacement looks older than the process it replaces. It is sent the earlier record for its
    # address and raises its own incarnation above it.
    Given a membership network with seed 22 and 20 nodes
    When 10 seconds of membership pass
    And membership node 3 is replaced under its address with a clock 300 seconds behind
    And 5 seconds of membership pass
    Then every running node sees the replacement of node 3 as "ready"
    And no running node holds membership node 3 as alive

  Scenario Outline: A process that was replaced while frozen does not return when it wakes
    # Guards against requests to the old process. While it is frozen its addresses go to a new one;
    # then it resumes and announces itself with a higher incarnation. An identity that was replaced
    # must never return.
    Given a membership network with seed <seed> and 12 nodes
    When 10 seconds of membership pass
    And membership node 3 is frozen for 1 second
    And membership node 3 is replaced under its address
    And 5 seconds of membership pass
    And membership node 3 resumes
    Then membership node 3 is not brought back for 20 seconds
    And every other running node sees the replacement of node 3 as "ready"

    Examples:
      | seed |
      | 23   |
      | 101  |
      | 102  |
      | 103  |
      | 104  |
      | 105  |
      | 106  |
      | 107  |

  Scenario: A replaced process that gets its address back falls silent
    # Guards against two nodes behind one address. The old process resumes and learns that its
    # identity was replaced: it raises an event, stops gossiping and acks no probe.
    Given a membership network with seed 26 and 12 nodes
    When 10 seconds of membership pass
    And membership node 3 is frozen for 1 second
    And membership node 3 is replaced under its address
    And 5 seconds of membership pass
    And membership node 3 resumes with its address back
    And 5 seconds of membership pass
    Then membership node 3 has been superseded
    And membership node 3 sees itself as "dead"

  Scenario: A replacement with a clock behind takes over from a process known to be dead
    # Guards against a new node that gets no requests. The old process has been dead for a while,
    # but its record still has the higher incarnation for the address.
    Given a membership network with seed 27 and 12 nodes
    When 10 seconds of membership pass
    And membership node 3 crashes
    And 20 seconds of membership pass
    And membership node 3 is replaced under its address with a clock 300 seconds behind
    And 5 seconds of membership pass
    Then every running node sees the replacement of node 3 as "ready"

  Scenario: Late gossip about a dead process does not bring it back
    # Guards against requests to a dead node. It crashed while one node was partitioned, which still
    # holds it as ready, at the same incarnation, when the partition heals.
    Given a membership network with seed 24 and 12 nodes
    When 10 seconds of membership pass
    And membership node 9 is partitioned from the rest
    And membership node 3 crashes
    And 20 seconds of membership pass
    And the partition heals
    Then membership node 3 is not brought back for 20 seconds

  Scenario: A planned stop is known at once and is never probed
    # Guards against requests to a node that left, and against suspicions of it. It sends leave
    # messages to some members, which gossip them on.
    Given a membership network with seed 25 and 30 nodes
    When 10 seconds of membership pass
    And membership node 6 leaves
    And 1 second of membership pass
    Then every other running node sees membership node 6 as "dead"
    And nobody suspected membership node 6
