Feature: A request that ends the nodes that serve it does not go through the fleet

  Scenario: A lookup that ends each node that serves it
    # The response to a lookup crashes the node beside the server, not the server. The node that
    # forwarded the lookup sees a broken connection and retries at another node, and callers repeat
    # it: node after node crashes, and the requests running at its server are lost. A crashed node
    # reports nothing, so the nodes that forwarded to it have to report what it was serving.
    Given a mixed mesh of 2 licencehub and 5 mapdesk nodes
    And deadly crash the nodes that serve them, which restart after 1 s
    And traffic: 60 lookups a second of mapdesk for 14 s
      | key     | value |
      | retries | 1     |
    And traffic: 2 deadly a second of mapdesk for 12 s
      | key        | value |
      | from       | 1     |
      | service_ms | 400   |
    When the traffic enters by licencehub-1 and licencehub-2
    Then deadly took down at most 6 nodes
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept

  Scenario: A lookup that ends the node that both takes and serves it
    # The same fault where each node serves its own callers' requests: no other node knows what it
    # was serving when it crashed.
    Given a mesh of 6 mapdesk nodes
    And deadly crash the nodes that serve them, which restart after 1 s
    And traffic: 60 lookups a second of mapdesk for 14 s
      | key     | value |
      | retries | 1     |
    And traffic: 2 deadly a second of mapdesk for 12 s
      | key        | value |
      | from       | 1     |
      | service_ms | 400   |
    When the traffic enters by all nodes
    Then deadly took down at most 6 nodes
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept
