Feature: Membership over real UDP sockets and a store that fails

  Scenario: Nodes find each other through the store and tell each other what changes
    # Three nodes started at once find each other; one that drains is no longer offered; one that
    # stops as planned is gone at once and leaves no announcement behind.
    Given a store in memory for membership
    And 3 membership services that use it
    Then within 5 seconds each membership service offers 3 nodes
    When membership service 1 starts draining
    Then within 5 seconds each membership service offers 2 nodes
    When membership service 2 stops as planned
    Then within 5 seconds each membership service knows 2 nodes
    And the store holds 2 announcements

  Scenario: A node that starts while the store is down is found once it is back
    # Guards against a node that gives up on the store. Nodes 0 and 1 know each other. The store
    # fails, and node 2 starts and retries until it is back.
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
    # Node 0 sends node 1 a bulletin to relay to node 2. Node 1 must not relay the same datagram
    # when node 3 replays it, since anyone who captured it could amplify traffic that way.
    Given a store in memory for membership
    And 4 membership services that use it
    And within 5 seconds each membership service offers 4 nodes
    And membership service 1 relays bulletins to membership service 2
    When membership service 0 publishes a bulletin through membership service 1
    Then within 5 seconds membership services 1 and 2 have received it once, from membership service 0
    When membership service 3 sends the datagram to membership service 1 again
    And 1 second of real time passes
    Then membership service 2 has received it once

  Scenario: A node without the store takes part as soon as another finds it
    # Node 2 can't reach the store, but a node that knows its address pings it; this must suffice to
    # make it a full member.
    Given a store in memory for membership
    And 2 membership services that use it
    And within 5 seconds each membership service offers 2 nodes
    When the membership store goes down
    And another membership service starts
    And membership service 0 pings the address of membership service 2
    Then within 5 seconds each membership service offers 3 nodes

  Scenario: An announcement whose write answer was lost is not written twice
    # Guards against a second announcement that nobody removes. The write takes effect but its
    # response is lost; the key contains the run's random number, so the object found there is this
    # node's own, and the node can delete it when it stops.
    Given a store in memory for membership
    And the membership store loses the answer to the next write
    And 2 membership services that use it
    Then within 5 seconds each membership service offers 2 nodes
    And the store holds 2 announcements
    When 2 seconds of real time pass
    And membership service 0 stops as planned
    Then the store holds 1 announcements

  Scenario: The announcement of an earlier process is removed by its replacement
    # Guards against an ever-growing list of announcements. A process that is killed doesn't remove
    # its own; the one that starts under the same address does.
    Given a store in memory for membership
    And 2 membership services that use it
    And within 5 seconds each membership service offers 2 nodes
    When membership service 1 is killed and started again
    Then within 5 seconds each membership service offers 2 nodes
    And the store holds 2 announcements

  Scenario: Garbage on the port does not disturb the members
    # Garbage datagrams cause one log line with a code, and the members stay as they are.
    Given a store in memory for membership
    And 2 membership services that use it
    And within 5 seconds each membership service offers 2 nodes
    When 500 garbage datagrams reach membership service 1
    Then within 5 seconds each membership service offers 2 nodes
    And membership service 1 has dropped some datagrams as "bad-mac"

  Scenario: A fault in one listener keeps no news from the others
    # An exception in one listener is logged, and the other listeners are still called.
    Given a store in memory for membership
    And 2 membership services that use it
    And a listener of membership service 0 that always fails
    Then within 5 seconds each membership service offers 2 nodes
    When membership service 1 starts draining
    Then within 5 seconds each membership service offers 1 node
    And the other listener of membership service 0 has heard of it
