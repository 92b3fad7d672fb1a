Feature: Who is there, over a network in memory
  The protocol core runs with a clock and a random source of the test, so each scenario gives the
  same verdict on every run.

  Scenario: Members find each other and a dead one is noticed
    # The caller sees: requests go only to nodes that run. A process ends without a word; probes of
    # it fail, helpers can't reach it either, it is suspected, and when nobody refutes, it is dead.
    Given a membership network with seed 1 and 20 nodes
    When 5 seconds of membership pass
    Then every running node holds the same 20 members
    When membership node 3 stops without a word
    And 10 seconds of membership pass
    Then every running node holds the same 19 members
    And no membership node had to refute anything

  Scenario Outline: The smallest fleets notice a dead member too
    # The caller sees: in a fleet of <count>, requests stop going to the dead node. There is nobody
    # else to confirm a suspicion, so the shortest time for it applies.
    Given a membership network with seed 8 and <count> nodes
    When 5 seconds of membership pass
    And membership node 0 stops without a word
    And 10 seconds of membership pass
    Then every running node holds the same <left> members

    Examples:
      | count | left |
      | 2     | 1    |
      | 3     | 2    |
      | 4     | 3    |

  Scenario: Nodes that are found before they look still look for others
    # The caller sees: one fleet. Nodes 0 and 1 know of each other only. Nodes 2 and 3 find each other
    # at once; node 2, which knows the address of node 0, must try it all the same.
    Given a membership network with seed 10 and 2 nodes
    And two more nodes, of which the second finds the first before it looks for the others
    When 3 seconds of membership pass
    Then every running node holds the same 4 members

  Scenario: A fleet that starts again at once knows all its members within a second
    # The caller sees refusals in a fleet that is up. Each node finds the addresses of all in the
    # store, and most of those that it tries first are not up yet.
    Given 75 membership nodes that come up within 200 ms and know the addresses of all
    Then every node knows all 75 within 800 ms

  Scenario: A node that starts again without a list is found by the others
    # The caller sees refusals at a node that has just been restarted, while all others serve. The
    # store is down, so it can't read who is there, and nobody reads of it.
    Given a membership network with seed 42 and 12 nodes
    When 10 seconds of membership pass
    And membership node 3 leaves
    And 1 second of membership pass
    And a process starts at the address of membership node 3 and knows nobody
    And 2 seconds of membership pass
    Then every running node holds the same 12 members

  Scenario: Most of what members say stays in their data centre, and all hear of everything
    # Bytes between data centres are dear, and in a fleet of five of them a choice without regard to
    # place sends four in five datagrams across. A node that drains must be known to all all the same
    # before callers notice, and a data centre that is lost as a whole too.
    Given a membership network with seed 4 and 100 nodes
    When 8 seconds of membership pass
    Then of the bytes of the next 10 seconds at most 1 in 3 leave their data centre
    When membership node 3 starts draining
    Then every other running node holds membership node 3 as "draining" within 1500 ms
    When the data centre "sanand" is lost
    And 12 seconds of membership pass
    Then every running node holds the same 80 members

  Scenario: A broken path between two nodes accuses neither
    # The caller sees: both nodes keep their work. Nodes 2 and 5 can't reach each other, all others
    # can; helpers reach the target over other paths, so the probe does not count as failed.
    Given a membership network with seed 9 and 10 nodes
    When 5 seconds of membership pass
    And the path between membership nodes 2 and 5 breaks
    And 60 seconds of membership pass
    Then no membership node had to refute anything

  Scenario: A drain is known everywhere in about a second
    # The caller sees: no request is sent to a draining node any more. The member raises its own
    # incarnation with the new state and tells some members at once, which pass it on.
    Given a membership network with seed 2 and 50 nodes
    When 10 seconds of membership pass
    And membership node 7 starts draining
    And 1 second of membership pass
    Then every running node sees membership node 7 as "draining"
    And membership node 7 is not offered for its service

  Scenario: Every node learns which settings the others have in force
    # The operator sees: apply ends when all report the revision. Each node reports its own, and
    # reports travel grouped; what a lost datagram left out is pulled by comparing digests.
    Given a membership network with seed 3 and 50 nodes
    And one in 10 membership datagrams is lost
    When 10 seconds of membership pass
    And every node puts settings revision 12 in force
    And 5 seconds of membership pass
    Then every running node knows of all that they have revision 12

  Scenario: A lossy network kills nobody
    # The caller sees: nothing. One datagram in five is lost, so one probe in three fails; helpers
    # reach the target over other paths, and who is suspected all the same refutes it in time.
    Given a membership network with seed 4 and 20 nodes
    And one in 5 membership datagrams is lost
    When 120 seconds of membership pass
    Then no running member was ever believed dead

  Scenario: A node that can hardly hear accuses few others
    # The caller sees: other nodes keep their share of the work. A node loses most of what is sent
    # to it and takes that for the failure of others. Its helpers' answers are missing as well, so
    # it holds itself to be the slow one, waits longer and probes less often.
    Given a membership network with seed 5 and 20 nodes
    When 5 seconds of membership pass
    And membership node 2 loses nine in ten of the datagrams sent to it
    And 60 seconds of membership pass
    Then membership node 2 has failed at most 25 probes

  Scenario: A refused connection makes a member suspect at once, an answer clears it
    # The caller sees: the next choice avoids the node whose connection was refused. The ingress
    # reports it, the member is suspect here at once and probed now; it answers and is ready again.
    Given a membership network with seed 6 and 10 nodes
    When 5 seconds of membership pass
    And membership node 1 reports a refused connection to node 4
    Then membership node 1 sees membership node 4 as "suspect"
    When 1 second of membership pass
    Then membership node 1 sees membership node 4 as "ready"
    And no membership node had to refute anything

  Scenario: A draining member stays draining under suspicion
    # The caller sees: no request goes to a server that is leaving. Its node drains and then hangs;
    # a suspect takes work, so suspicion must not make it look ready.
    Given a membership network with seed 7 and 10 nodes
    When 5 seconds of membership pass
    And membership node 4 starts draining
    And 1 second of membership pass
    And membership node 1 reports a refused connection to node 4
    Then membership node 1 sees membership node 4 as "draining"
    And membership node 4 is not offered for its service
