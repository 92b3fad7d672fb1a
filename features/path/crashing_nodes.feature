Feature: A request that ends the nodes that serve it does not go through the fleet

  Scenario: A lookup that ends each node that serves it
    # A lookup's answer has something at which the node beside the server ends, not the server. Its
    # connections break, the node that had sent it there tries the next, and callers ask again: node
    # after node goes, and each takes what its server runs with it. A node that has ended tells
    # nobody what it served; those that had sent it there know.
    Given a mixed mesh of 2 licencehub and 5 mapdesk nodes
    And deadly end the nodes that serve them, which are back after 1 s
    And traffic: 60 lookups a second of mapdesk for 14 s
      | key     | value |
      | retries | 1     |
    And traffic: 2 deadly a second of mapdesk for 12 s
      | key        | value |
      | from       | 1     |
      | service_ms | 400   |
    When the traffic enters by licencehub-1 and licencehub-2
    Then deadly ended at most 6 nodes
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept

  Scenario: A lookup that ends the node that both takes and serves it
    # The same where each node serves what it takes from its callers: nobody else knows what it was
    # doing when it ended.
    Given a mesh of 6 mapdesk nodes
    And deadly end the nodes that serve them, which are back after 1 s
    And traffic: 60 lookups a second of mapdesk for 14 s
      | key     | value |
      | retries | 1     |
    And traffic: 2 deadly a second of mapdesk for 12 s
      | key        | value |
      | from       | 1     |
      | service_ms | 400   |
    When the traffic enters by all nodes
    Then deadly ended at most 6 nodes
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept
