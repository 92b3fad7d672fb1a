Feature: One identity for each run of a process, over a network in memory

  Scenario: A replacement under the same address supersedes the old process at once
    # The caller sees: requests go to the new process only, and none is counted for the old one. The
    # instance is replaced and its node starts again with the same addresses. Probes of the old
    # identity reach the new process, which says who it is in place of an answer.
    Given a membership network with seed 21 and 20 nodes
    When 10 seconds of membership pass
    And membership node 3 is replaced under its address
    And 2 seconds of membership pass
    Then every running node sees the replacement of node 3 as "ready"
    And no running node holds membership node 3 as alive

  Scenario: A replacement whose clock is behind still supersedes the old process
    # The caller sees: the new node gets its share of work. Incarnations start at the wall clock, so
    # this replacement looks older than the process it replaces. It is told of the earlier record
    # for its address and raises its own incarnation above it.
    Given a membership network with seed 22 and 20 nodes
    When 10 seconds of membership pass
    And membership node 3 is replaced under its address with a clock 300 seconds behind
    And 5 seconds of membership pass
    Then every running node sees the replacement of node 3 as "ready"
    And no running node holds membership node 3 as alive

  Scenario Outline: A process that was replaced while frozen does not return when it wakes
    # The caller sees: requests go to the new process only. The old one is frozen, its instance's
    # addresses go to a new one, then the old one wakes and announces itself with a higher
    # incarnation. An identity that was replaced never returns, whatever it says.
    Given a membership network with seed <seed> and 12 nodes
    When 10 seconds of membership pass
    And membership node 3 is frozen for 1 second
    And membership node 3 is replaced under its address
    And 5 seconds of membership pass
    And membership node 3 thaws
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
    # The caller sees: no two nodes behind one address. The old process wakes and hears that its
    # identity was replaced: it tells its own node, takes part no more and answers no probe.
    Given a membership network with seed 26 and 12 nodes
    When 10 seconds of membership pass
    And membership node 3 is frozen for 1 second
    And membership node 3 is replaced under its address
    And 5 seconds of membership pass
    And membership node 3 thaws and has its address back
    And 5 seconds of membership pass
    Then membership node 3 has stood down
    And membership node 3 sees itself as "dead"

  Scenario: A replacement with a clock behind takes over from a process known to be dead
    # The caller sees: the new node gets its share of work. The old process has been dead for a
    # while, but its record still has the higher incarnation for the address.
    Given a membership network with seed 27 and 12 nodes
    When 10 seconds of membership pass
    And membership node 3 stops without a word
    And 20 seconds of membership pass
    And membership node 3 is replaced under its address with a clock 300 seconds behind
    And 5 seconds of membership pass
    Then every running node sees the replacement of node 3 as "ready"

  Scenario: Late gossip about a dead process does not bring it back
    # The caller sees: no request goes to a dead node. It ended while one node was cut off, which
    # still holds it as ready, at the same incarnation, when the cut heals.
    Given a membership network with seed 24 and 12 nodes
    When 10 seconds of membership pass
    And membership node 9 is cut off
    And membership node 3 stops without a word
    And 20 seconds of membership pass
    And the cut heals
    Then membership node 3 is not brought back for 20 seconds

  Scenario: A planned stop is known at once and is never probed
    # The caller sees: no request is sent to the node that left, and nobody suspects it first. It
    # says goodbye to some members, who pass it on.
    Given a membership network with seed 25 and 30 nodes
    When 10 seconds of membership pass
    And membership node 6 leaves
    And 1 second of membership pass
    Then every other running node sees membership node 6 as "dead"
    And nobody suspected membership node 6
