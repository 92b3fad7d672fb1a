Feature: The operator's configuration is followed
  The operator writes to the platform's store and calls no node. A change that the store acknowledged
  is in force on every node within two seconds, and stays in force.

  Scenario: A change is in force everywhere within two seconds
    Given a fleet on the platform: mapdesk, mapdesk, licencehub
    When the operator adds a route "/new/" to mapdesk as version 9
    Then "/new/1" is served through every node within 2 s

  Scenario: A route that was dropped is not found any more
    Given a fleet on the platform: mapdesk, mapdesk
    When the operator drops all routes as version 9
    Then "/tiles/7" is answered 404 through every node within 2 s

  Scenario: An older version changes nothing
    # A stale response of the store, or a peer that was suspended, returns an older version. Applying
    # it would revert an acknowledged change.
    Given a fleet on the platform: mapdesk
    And the operator adds a route "/new/" to mapdesk as version 9
    And "/new/1" is served through every node within 2 s
    When the operator drops all routes as version 3
    And 1 s pass
    Then a client that asks node 1 for "/new/1" gets 200

  Scenario: A change in a gap of the history is not missed
    # The store drops its history and closes the watches while the operator writes. A watch that
    # resumed from its old version would never report that change.
    Given a fleet on the platform: mapdesk, mapdesk
    When the store goes away
    And the operator adds a route "/new/" to mapdesk as version 9
    And the store forgets its history
    And the store comes back
    Then "/new/1" is served through every node within 4 s

  Scenario: Changes in quick succession are asked for by one node, which tells the others
    # Each change would cost one call of every watching node: with 19 nodes, 108 of the 438 calls of a
    # day were caused by one burst of 18 changes.
    Given nodes on the platform beside mapdesk at east, mapdesk at east, mapdesk at west
    When the operator writes 12 versions, one each 0.1 s
    Then the last of them is in force everywhere within 2 s
    And the nodes have asked for changes at most 20 times

  Scenario: A configuration that can't be read leaves the one in force
    Given a fleet on the platform: mapdesk
    When the operator writes a configuration without routes' names of services as version 9
    And 1 s pass
    Then a client that asks node 1 for "/tiles/7" gets 200

  Scenario: The tree shows where a value of the operator's comes from
    Given a fleet on the platform: mapdesk
    Then the resolved settings of host "shop.example" and path "/tiles/7" hold
      | key            | value | origin                                        |
      | max_timeout_ms | 1000  | /services/shop.example/routes/tiles/          |
      | selector       | forecast | /                                          |
    And an operator who changes the settings through a node is told where to do so

  Scenario: The operator's limits bound what callers send, also after a change
    # A node starts before it has a configuration. A limit that is only read at the start would keep
    # its default: callers that never finish a request head would hold their connections for longer
    # than the operator allows, and heads of an allowed size would be refused.
    Given a fleet on the platform: mapdesk
    When the operator allows heads of 12000 bytes, 500 ms for a head and 700 ms of rest as version 9
    Then a request with a header of 10000 bytes through node 1 gets 200
    And a head that never ends is given up by node 1 within 1.2 s
    And a connection that rests is closed by node 1 within 1.5 s

  Scenario: A longer idle timeout applies to connections that are already open
    # The operator raises the idle timeout, and callers reuse connections that were idle for up to
    # four fifths of the new one. Connections closed after the old one would fail callers' requests.
    Given a fleet on the platform: mapdesk
    And the operator allows heads of 12000 bytes, 500 ms for a head and 700 ms of rest as version 9
    And a client keeps a connection to node 1 open
    When the operator allows heads of 12000 bytes, 500 ms for a head and 4000 ms of rest as version 10
    And 2 s pass
    Then that connection answers another request

  Scenario: A request that is read amid a change doesn't hold later ones to the old service
    # The route of a request moves to another service while its body is being received. After the
    # change had cleared the cached split of the route, this request cached the old one again, and all
    # later requests of the route went to the old service until the next change.
    Given a fleet on the platform: mapdesk, licencehub
    When a client has sent half of a body to "/tiles/7" by node 1
    And a version moves "/tiles/" to licencehub, and it is in force
    And the client sends the rest
    Then 5 more requests to "/tiles/8" by node 1 run on licencehub alone
