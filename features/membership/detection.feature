Feature: Who is there, over a network in memory
  The protocol core runs with a clock and a random source of the test, so each scenario gives the
  same verdict on every run.

  Scenario: Members find each other and a dead one is noticed
    # Guards against requests to a node that crashed: its probes fail, helpers can't reach it
    # either, and as nobody refutes the suspicion it is declared dead.
    Given a membership network with seed 1 and 20 nodes
    When 5 seconds of membership pass
    Then every running node holds the same 20 members
    When membership node 3 crashes
    And 10 seconds of membership pass
    Then every running node holds the same 19 members
    And no membership node had to refute anything

  Scenario Outline: The smallest fleets notice a dead member too
    # Guards against requests to a dead node in a fleet of <count>. No other member is left to
    # confirm the suspicion, so the minimum timeout applies.
    Given a membership network with seed 8 and <count> nodes
    When 5 seconds of membership pass
    And membership node 0 crashes
    And 10 seconds of membership pass
    Then every running node holds the same <left> members

    Examples:
      | count | left |
      | 2     | 1    |
      | 3     | 2    |
      | 4     | 3    |

  Scenario: Nodes that are found before they look still look for others
    # Guards against a partitioned fleet. Nodes 0 and 1 know only each other. Nodes 2 and 3 find
    # each other at once; node 2, which knows the address of node 0, must still ping it.
    Given a membership network with seed 10 and 2 nodes
    And two more nodes, of which the second finds the first before it looks for the others
    When 3 seconds of membership pass
    Then every running node holds the same 4 members

  Scenario: A fleet that starts again at once knows all its members within a second
    # Guards against refusals in a fleet that is up. Each node reads the addresses of all from the
    # store, and most of those that it pings first are not up yet.
    Given 75 membership nodes that come up within 200 ms and know the addresses of all
    Then every node knows all 75 within 800 ms

  Scenario: A node that starts again without a list is found by the others
    # Guards against refusals at a node that restarts while all others serve. The store is down, so
    # the node can't read the announcements and nobody reads its own.
    Given a membership network with seed 42 and 12 nodes
    When 10 seconds of membership pass
    And membership node 3 leaves
    And 1 second of membership pass
    And a process starts at the address of membership node 3 and knows nobody
    And 2 seconds of membership pass
    Then every running node holds the same 12 members

  Scenario: Most of what members say stays in their data centre, and all hear of everything
    # Bytes between data centres are expensive, and in a fleet of five data centres uniform choice
    # sends four in five datagrams across. All members must still learn in time that a node drains
    # or that a whole data centre failed.
    Given a membership network with seed 4 and 100 nodes
    When 8 seconds of membership pass
    Then of the bytes of the next 10 seconds at most 1 in 3 leave their data centre
    When membership node 3 starts draining
    Then every other running node holds membership node 3 as "draining" within 1500 ms
    When the data centre "sanand" is lost
    And 12 seconds of membership pass
    Then every running node holds the same 80 members

  Scenario: A broken path between two nodes accuses neither
    # Guards against a healthy node losing its share of requests. Nodes 2 and 5 can't reach each
    # other, but helpers reach the target over other paths, so the probe doesn't fail.
    Given a membership network with seed 9 and 10 nodes
    When 5 seconds of membership pass
    And the path between membership nodes 2 and 5 breaks
    And 60 seconds of membership pass
    Then no membership node had to refute anything

  Scenario: A drain is known everywhere in about a second
    # Guards against requests to a draining node. The member raises its incarnation with the new
    # state and tells some members at once, which gossip it on.
    Given a membership network with seed 2 and 50 nodes
    When 10 seconds of membership pass
    And membership node 7 starts draining
    And 1 second of membership pass
    Then every running node sees membership node 7 as "draining"
    And membership node 7 is not offered for its service

  Scenario: Every node learns which settings the others have in force
    # Guards against an `apply` that doesn't end: it waits until all nodes report the revision.
    # Revisions are gossiped in groups; those missed in lost datagrams are pulled after a comparison
    # of digests.
    Given a membership network with seed 3 and 50 nodes
    And one in 10 membership datagrams is lost
    When 10 seconds of membership pass
    And every node puts settings revision 12 in force
    And 5 seconds of membership pass
    Then every running node knows of all that they have revision 12

  Scenario: A lossy network kills nobody
    # Guards against healthy members being declared dead. With one datagram in five lost, one probe
    # in three fails; helpers reach the target over other paths, and a member that is suspected all
    # the same refutes in time.
    Given a membership network with seed 4 and 20 nodes
    And one in 5 membership datagrams is lost
    When 120 seconds of membership pass
    Then no running member was ever believed dead

  Scenario: A node that can hardly hear accuses few others
    # Guards against other nodes losing their share of requests. A node that loses most incoming
    # datagrams takes this for failures of others. As its helpers' nacks are missing too, its local
    # health score rises, and it probes less often and with longer timeouts.
    Given a membership network with seed 5 and 20 nodes
    When 5 seconds of membership pass
    And membership node 2 loses nine in ten of the datagrams sent to it
    And 60 seconds of membership pass
    Then membership node 2 has failed at most 25 probes

  Scenario: A refused connection makes a member suspect at once, an answer clears it
    # Guards against further requests to a node that refused a connection. The ingress reports the
    # failure, the member is suspected locally at once and probed; its ack makes it ready again.
    Given a membership network with seed 6 and 10 nodes
    When 5 seconds of membership pass
    And membership node 1 reports a refused connection to node 4
    Then membership node 1 sees membership node 4 as "suspect"
    When 1 second of membership pass
    Then membership node 1 sees membership node 4 as "ready"
    And no membership node had to refute anything

  Scenario: A draining member stays draining under suspicion
    # Guards against requests to a server that is leaving. Its node drains and then hangs; suspects
    # accept requests, so suspicion must not override the draining state.
    Given a membership network with seed 7 and 10 nodes
    When 5 seconds of membership pass
    And membership node 4 starts draining
    And 1 second of membership pass
    And membership node 1 reports a refused connection to node 4
    Then membership node 1 sees membership node 4 as "draining"
    And membership node 4 is not offered for its service
