Feature: A request that enters any node is served by a backend server of its service

  Scenario: Lookups enter by one node and are served by several
    # The caller knows one node and sends it more lookups than its server can run; the node forwards
    # the rest to other nodes. Each response must be complete and belong to its own request.
    Given a mesh of 3 mapdesk nodes
    And traffic: 40 lookups a second of mapdesk for 2 s
      | key        | value |
      | service_ms | 400   |
    When the traffic enters by mapdesk-1
    Then all lookups completed
    And every promise is kept
    And the traffic was answered by mapdesk-1 and by others

  Scenario: Bookings of another service enter by a node that does not serve it
    # The node beside a mapdesk server has no licencehub server; it forwards the bookings.
    Given a mixed mesh of 1 mapdesk and 2 licencehub nodes
    And traffic: 30 bookings a second of licencehub for 2 s
      | key        | value  |
      | method     | "POST" |
      | body_bytes | 500    |
    When the traffic enters by mapdesk-1
    Then all bookings completed
    And every promise is kept
