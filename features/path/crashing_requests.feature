Feature: A request that ends the backend servers that run it does not go through the fleet

  Scenario: A lookup that ends each server that runs it
    # Callers of a case desk get 502 and 503 for two thirds of their lookups, for as long as one
    # caller repeats a single one: its server ends while it runs it, with all else that runs there,
    # and is back seconds later. The caller asks again, with an id of its own, through another node.
    # No node links the end of a server with what ran there, nor tells the others, so the repeat is
    # placed wherever there is room, and that server ends too.
    # Evidence: in the incident's logs each of ten ends within eight seconds had one and the same
    # path in progress, at six servers, and nothing else in common; it stopped for want of servers.
    Given a mesh of 6 mapdesk nodes, whose servers "/deadly" ends and which are back after 1.5 s
    And traffic: 60 lookups a second of mapdesk for 14 s
      | key     | value |
      | retries | 1     |
    And traffic: 3 deadly a second of mapdesk for 12 s
      | key  | value |
      | from | 1     |
    When the traffic enters by all nodes
    Then deadly ended at most 3 servers
    And at least 98% of the lookups of the last 5 s completed
    And in the last 5 s each deadly was refused as not-run, with 10 s to wait
    And every promise is kept

  Scenario: A booking that ends each server that runs it
    # The same by a booking: nobody repeats it for its caller, so each attempt ends one server, and
    # its caller, who gets 502, books the same again.
    Given a mesh of 4 mapdesk nodes, whose servers "/deadly" ends and which are back after 1.5 s
    And traffic: 40 lookups a second of mapdesk for 12 s
      | key     | value |
      | retries | 1     |
    And traffic: 3 deadly a second of mapdesk for 10 s
      | key        | value  |
      | from       | 1      |
      | method     | "POST" |
      | body_bytes | 500    |
      | body_of    | "one"  |
    When the traffic enters by all nodes
    Then deadly ended at most 3 servers
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept

  Scenario: A lookup under which each server falls silent
    # A lookup freezes the server that runs it: it takes connections and answers nothing any more, its
    # health endpoint included, until somebody starts it again. Nobody listens on, nobody has taken
    # its place, so that nothing tells that it ended; the lookup goes through the fleet all the same.
    Given a mesh of 8 mapdesk nodes, whose servers "/deadly" freezes
    And traffic: 60 lookups a second of mapdesk for 22 s
      | key     | value |
      | retries | 1     |
    And traffic: 0.4 deadly a second of mapdesk for 20 s
      | key  | value |
      | from | 1     |
    When the traffic enters by all nodes
    Then deadly ended at most 6 servers
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept

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
