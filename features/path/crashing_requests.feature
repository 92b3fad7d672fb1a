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
    And no attempt of a caller ended more than 2 of them
    And at least 98% of the lookups of the last 5 s completed
    And in the last 5 s each deadly was refused as not-run, with 10 s to wait
    And every promise is kept

  Scenario: A lookup that ends servers which go on taking connections for a while
    # The connections of a server that ends break, yet it takes new ones for some time: nobody knows
    # that it has ended when its callers' requests are to be tried elsewhere.
    Given a mesh of 6 mapdesk nodes, whose servers "/deadly" ends within 200 ms, back after 1.5 s
    And traffic: 60 lookups a second of mapdesk for 14 s
      | key     | value |
      | retries | 1     |
    And traffic: 3 deadly a second of mapdesk for 12 s
      | key  | value |
      | from | 1     |
    When the traffic enters by all nodes
    Then no attempt of a caller ended more than 2 of them
    And deadly ended at most 3 servers later than 3 s after the third end
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept

  Scenario Outline: A booking that ends each server that runs it
    # The same by a booking: nobody repeats it for its caller, so each attempt ends one server, and
    # its caller, who gets 502, books the same again; with a key, by another one.
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
      | keyed      | <keyed> |
    When the traffic enters by all nodes
    Then deadly ended at most 3 servers
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept

    Examples:
      | keyed |
      | false |
      | true  |

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

  Scenario: Nodes that stood still, and servers that reset connections, put nothing down to a request
    # A node is stopped for 3 s while its server runs lookups; when it goes on, all of them look lost
    # and its look at the server unanswered. Another server breaks connections and lives on. Suspected
    # for that, common lookups would be held back.
    Given a mesh of 3 mapdesk nodes
    And the backend server of mapdesk-2 shows {"close_before_answer": 0.3}
    And traffic: 60 lookups a second of mapdesk for 9 s
      | key        | value |
      | retries    | 1     |
      | service_ms | 150   |
    When while traffic enters by mapdesk-3
      | at  | what   | whom      |
      | 2.0 | freeze | mapdesk-1 |
      | 5.0 | thaw   | mapdesk-1 |
    Then no node has told of the end of a server
    And nothing was held back
    And every promise is kept
