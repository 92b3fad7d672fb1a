Feature: Members through cuts, freezes and losses, over a network in memory

  Scenario: A whole data centre is lost at once without a storm
    # Guards against a burst of traffic when all members of a data centre fail together. Probes keep
    # their rate, gossip has a budget, and updates about all these members share datagrams. Suspects
    # get fewer requests within seconds, then none.
    Given a membership network with seed 11 and 60 nodes
    When 10 seconds of membership pass
    And the data centre "sanand" is lost
    And membership traffic is counted for 15 seconds
    Then every running node holds the same 48 members
    And no node sent more than 2000 bytes a second

  Scenario: Two regions are cut from each other for minutes and heal
    # Guards against a partition that never heals. Each region serves on its own and holds the other
    # as dead. Dead members are still pinged at a low rate; the first ack makes the two sides
    # compare views, and every member refutes its death with a higher incarnation.
    Given a membership network with seed 12 and 40 nodes
    When 10 seconds of membership pass
    And the region of "navrangpura, sanand" is partitioned from the rest
    And 180 seconds of membership pass
    Then the members within each region hold exactly their own region
    When the partition heals
    And 15 seconds of membership pass
    Then every running node holds the same 40 members

  Scenario: The other side's stale view empties nobody's list of servers
    # Guards against a burst of refusals when a partition heals. The other side holds every member
    # here as dead. Accepted at once, this would leave this side without members until all had
    # refuted.
    Given a membership network with seed 13 and 40 nodes
    When 10 seconds of membership pass
    And the region of "navrangpura, sanand" is partitioned from the rest
    And 180 seconds of membership pass
    And the partition heals
    And 15 seconds of membership pass
    Then no member was ever believed dead within its own region

  Scenario: A frozen process comes back and accuses nobody
    # Guards against a resumed process declaring healthy members dead. It is stopped for 20 s with
    # pending probes and is declared dead. When it resumes, all its timers have expired; it drops
    # them, refutes its death and catches up before it suspects anyone.
    Given a membership network with seed 14 and 20 nodes
    When 10 seconds of membership pass
    And membership node 5 is frozen for 20 seconds
    Then every other running node sees membership node 5 as "dead"
    When membership node 5 resumes
    And 3 seconds of membership pass
    Then every running node holds the same 20 members
    And only membership node 5 had to refute anything

  Scenario: A frozen process does not believe its old suspicions when it wakes
    # Guards against a healthy node being declared dead. Node 8 hangs for a moment and is suspected;
    # node 5 learns of this, freezes, and misses the refutation because its socket is full. When it
    # resumes, the suspicion has long expired.
    Given a membership network with seed 17 and 20 nodes
    When 10 seconds of membership pass
    And membership node 8 is frozen for 3 seconds
    And membership node 5 freezes with a full socket
    And membership node 8 resumes
    And 20 seconds of membership pass
    And membership node 5 resumes
    And 5 seconds of membership pass
    Then membership node 5 never believed anybody dead
    And every running node holds the same 20 members

  Scenario: A busy process reads the waiting answers before it judges its probes
    # Guards against a server losing its requests because one node was busy. Its event loop stalls
    # for two seconds; the acks of its probes wait in the socket, but the timers fire first.
    Given a membership network with seed 18 and 10 nodes
    When 10 seconds of membership pass
    And membership node 5 probes all others, is busy for 2 seconds and its timers fire first
    Then membership node 5 has failed no probe

  Scenario: A node that was frozen for long does not bring back what others have forgotten
    # Guards against requests to a node long gone. Node 3 crashes while node 5 is frozen, and the
    # others drop it after the retention time. Node 5 still holds it as ready and must not gossip
    # that.
    Given a membership network with seed 15 and 6 nodes that forget after 60 seconds
    When 10 seconds of membership pass
    And membership node 5 is frozen for 1 second
    And membership node 3 crashes
    And 150 seconds of membership pass
    And membership node 5 resumes
    Then membership node 3 stays unknown for 10 seconds

  Scenario: One node cut off from all comes back with its own view intact
    # Guards against a partitioned node causing others to be declared dead. It receives nothing, so
    # it probes less often and suspects few members. Callers of this node are refused, all others
    # are served; when the partition heals it takes part again.
    Given a membership network with seed 16 and 20 nodes
    When 10 seconds of membership pass
    And membership node 9 is partitioned from the rest
    And 60 seconds of membership pass
    Then every other running node sees membership node 9 as "dead"
    When the partition heals
    And 15 seconds of membership pass
    Then every running node holds the same 20 members
    And no member but node 9 was ever believed dead by the others

  Scenario: News of a whole fleet at once stays within the budget of bytes
    # Guards against unbounded gossip: a burst of 60 kB at most, then 8 kB a second. When all 800
    # members change at once (a restart of the fleet, a healed partition), updates that exceed the
    # budget wait, the least sent first.
    Given a lone membership core that knows 800 members
    When it has updates about all of them and ticks for 10 seconds
    Then it has sent at most 145000 bytes
    And none of its datagrams was larger than 1200 bytes
