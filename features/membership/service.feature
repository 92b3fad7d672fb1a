Feature: Membership over real UDP sockets and a store that fails

  Scenario: Nodes find each other through the store and tell each other what changes
    # The operator sees: three nodes started at once know each other; one that drains is not offered
    # any more; one that stops as planned is gone at once and leaves no announcement behind.
    Given a store in memory for membership
    And 3 membership services that use it
    Then within 5 seconds each membership service offers 3 nodes
    When membership service 1 starts draining
    Then within 5 seconds each membership service offers 2 nodes
    When membership service 2 stops as planned
    Then within 5 seconds each membership service knows 2 nodes
    And the store holds 2 announcements

  Scenario: A node that starts while the store is down is found once it is back
    # The operator sees: nodes 0 and 1 know each other. The store fails, node 2 starts and keeps
    # trying. It is heard of when the store is back.
    Given a store in memory for membership
    And 2 membership services that use it
    And within 5 seconds each membership service offers 2 nodes
    When the membership store goes down
    And another membership service starts
    And 1 second of real time passes
    Then membership service 2 offers 1 node
    When the membership store comes back
    Then within 10 seconds each membership service offers 3 nodes

  Scenario: News for another data centre is passed on there by one of its nodes
    # Node 0 tells node 1 what node 2 is to hear of as well. From node 3, whose word it isn't, node 1
    # passes nothing on: whoever has seen such a datagram could have it multiplied.
    Given a store in memory for membership
    And 4 membership services that use it
    And within 5 seconds each membership service offers 4 nodes
    And membership service 1 passes news on to membership service 2
    When membership service 0 publishes news by way of membership service 1
    Then within 5 seconds membership services 1 and 2 have heard it once, from membership service 0
    When membership service 3 sends the datagram to membership service 1 again
    And 1 second of real time passes
    Then membership service 2 has heard it once

  Scenario: A node without the store takes part as soon as another finds it
    # The operator sees: node 2 has no store at all, but a node that knows its address pings it; it
    # accepts the gossip and is a full member.
    Given a store in memory for membership
    And 2 membership services that use it
    And within 5 seconds each membership service offers 2 nodes
    When the membership store goes down
    And another membership service starts
    And membership service 0 tries the address of membership service 2
    Then within 5 seconds each membership service offers 3 nodes

  Scenario: An announcement whose write answer was lost is not written twice
    # The operator sees: one announcement for each node. The write takes effect, its answer is lost;
    # the key holds the run's own number, so what is found there is this node's own, and the node
    # can remove it when it stops.
    Given a store in memory for membership
    And the membership store loses the answer to the next write
    And 2 membership services that use it
    Then within 5 seconds each membership service offers 2 nodes
    And the store holds 2 announcements
    When 2 seconds of real time pass
    And membership service 0 stops as planned
    Then the store holds 1 announcements

  Scenario: The announcement of an earlier process is removed by its replacement
    # The operator sees: no list of dead announcements grows. A process ends without removing its own;
    # the one that starts under the same address does.
    Given a store in memory for membership
    And 2 membership services that use it
    And within 5 seconds each membership service offers 2 nodes
    When membership service 1 is killed and started again
    Then within 5 seconds each membership service offers 2 nodes
    And the store holds 2 announcements

  Scenario: Garbage on the port does not disturb the members
    # The operator sees: one log line with a code, and members that stay as they are.
    Given a store in memory for membership
    And 2 membership services that use it
    And within 5 seconds each membership service offers 2 nodes
    When 500 garbage datagrams reach membership service 1
    Then within 5 seconds each membership service offers 2 nodes
    And membership service 1 has dropped some datagrams as "bad-mac"

  Scenario: A fault in one listener keeps no news from the others
    # The operator sees: an error line; the node goes on, and its other parts hear of each change.
    Given a store in memory for membership
    And 2 membership services that use it
    And a listener of membership service 0 that always fails
    Then within 5 seconds each membership service offers 2 nodes
    When membership service 1 starts draining
    Then within 5 seconds each membership service offers 1 node
    And the other listener of membership service 0 has heard of it
