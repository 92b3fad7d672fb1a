Feature: Members through cuts, freezes and losses, over a network in memory

  Scenario: A whole data centre is lost at once without a storm
    # The caller sees: suspects get fewer requests within seconds, then none. All members of one
    # data centre end together. Probing stays at its pace, news is sent within a budget and news of
    # all of them shares datagrams, so the others' traffic stays flat.
    Given a membership network with seed 11 and 60 nodes
    When 10 seconds of membership pass
    And the data centre "sanand" is lost
    And membership traffic is counted for 15 seconds
    Then every running node holds the same 48 members
    And no node sent more than 2000 bytes a second

  Scenario: Two regions are cut from each other for minutes and heal
    # The caller sees: each region serves on its own; after the cut both serve each other again. Each
    # side believes the other dead. The dead are still tried at a low rate; the first answer makes
    # the two sides compare views, and every member refutes its death with a higher incarnation.
    Given a membership network with seed 12 and 40 nodes
    When 10 seconds of membership pass
    And the region of "navrangpura, sanand" is cut off
    And 180 seconds of membership pass
    Then the members within each region hold exactly their own region
    When the cut heals
    And 15 seconds of membership pass
    Then every running node holds the same 40 members

  Scenario: The other side's stale view empties nobody's list of servers
    # The caller sees: no burst of refusals when a cut heals. The other side's view says "dead" of
    # every member here. Taken at its word, it would be believed by this side until all had refuted.
    Given a membership network with seed 13 and 40 nodes
    When 10 seconds of membership pass
    And the region of "navrangpura, sanand" is cut off
    And 180 seconds of membership pass
    And the cut heals
    And 15 seconds of membership pass
    Then no member was ever believed dead within its own region

  Scenario: A frozen process comes back and accuses nobody
    # The caller sees: only the frozen node is left out, and it is back at once. It is stopped for 20
    # seconds with probes under way and is believed dead. When it runs again all its timers are
    # over; it drops them, refutes its death and learns anew before it accuses.
    Given a membership network with seed 14 and 20 nodes
    When 10 seconds of membership pass
    And membership node 5 is frozen for 20 seconds
    Then every other running node sees membership node 5 as "dead"
    When membership node 5 thaws
    And 3 seconds of membership pass
    Then every running node holds the same 20 members
    And only membership node 5 had to refute anything

  Scenario: A frozen process does not believe its old suspicions when it wakes
    # The caller sees: node 8 keeps its work everywhere. Node 8 hangs for a moment and is suspected;
    # node 5 hears of it, freezes, and misses the refutation, its socket being full. When it wakes,
    # the suspicion's time is long over.
    Given a membership network with seed 17 and 20 nodes
    When 10 seconds of membership pass
    And membership node 8 is frozen for 3 seconds
    And membership node 5 freezes with a full socket
    And membership node 8 thaws
    And 20 seconds of membership pass
    And membership node 5 thaws
    And 5 seconds of membership pass
    Then membership node 5 never believed anybody dead
    And every running node holds the same 20 members

  Scenario: A busy process reads the waiting answers before it judges its probes
    # The caller sees: no server falls out of use because one node was busy. Its event loop comes
    # round two seconds late; the answers to its probes wait in the socket, but the timers fire first.
    Given a membership network with seed 18 and 10 nodes
    When 10 seconds of membership pass
    And membership node 5 probes all others, is busy for 2 seconds and its timers fire first
    Then membership node 5 has failed no probe

  Scenario: A node that was frozen for long does not bring back what others have forgotten
    # The caller sees: no request goes to a node long gone. Node 3 ends while node 5 is frozen, and
    # after an hour the others forget it. Node 5 still holds it as ready and must not tell anyone.
    Given a membership network with seed 15 and 6 nodes that forget after 60 seconds
    When 10 seconds of membership pass
    And membership node 5 is frozen for 1 second
    And membership node 3 stops without a word
    And 150 seconds of membership pass
    And membership node 5 thaws
    Then membership node 3 stays unknown for 10 seconds

  Scenario: One node cut off from all comes back with its own view intact
    # The caller sees: callers of the cut node are refused by it, all others are served. The node
    # hears from nobody, so it slows down its probes and accuses few; when the cut heals it takes
    # part again and nobody else was believed dead by the others.
    Given a membership network with seed 16 and 20 nodes
    When 10 seconds of membership pass
    And membership node 9 is cut off
    And 60 seconds of membership pass
    Then every other running node sees membership node 9 as "dead"
    When the cut heals
    And 15 seconds of membership pass
    Then every running node holds the same 20 members
    And no member but node 9 was ever believed dead by the others

  Scenario: News of a whole fleet at once stays within the budget of bytes
    # The operator sees: a burst of 60 kB at most, then 8 kB a second. All 800 members change at once
    # (a restart of everything, a heal); what does not fit waits, the least told first.
    Given a lone membership core that knows 800 members
    When it has news of all of them and ticks for 10 seconds
    Then it has sent at most 145000 bytes
    And none of its datagrams was larger than 1200 bytes
