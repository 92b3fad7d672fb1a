Feature: A request that ends the backend servers that run it does not go through the fleet

  Scenario: A lookup that ends each server that runs it
    # One caller repeats a lookup that crashes its server, and callers get 502 and 503 for two
    # thirds of all lookups. The server crashes with everything that runs there and restarts seconds
    # later; the caller repeats the lookup with a new id through another node. If no node relates
    # the crash to the requests in progress and tells the others, the repeat is placed on any free
    # server, which crashes too. In the logs of an incident, ten crashes at six servers within eight
    # seconds had nothing in common but one path in progress; they stopped when no server was left.
    Given a mesh of 6 mapdesk nodes, whose servers crash on "/deadly" and restart after 1.5 s
    And traffic: 60 lookups a second of mapdesk for 14 s
      | key     | value |
      | retries | 1     |
    And traffic: 3 deadly a second of mapdesk for 12 s
      | key  | value |
      | from | 1     |
    When the traffic enters by all nodes
    Then deadly took down at most 3 servers
    And no attempt of a caller took down more than 2 servers
    And at least 98% of the lookups of the last 5 s completed
    And in the last 5 s each deadly was refused as not-run, to retry after 10 s or more
    And every promise is kept

  Scenario: A lookup that ends servers which go on taking connections for a while
    # A crashing server breaks its connections but accepts new ones for some time, so that the crash
    # is not yet detected when the requests lost there are retried elsewhere.
    Given a mesh of 6 mapdesk nodes, whose servers crash on "/deadly" within 200 ms and restart after 1.5 s
    And traffic: 60 lookups a second of mapdesk for 14 s
      | key     | value |
      | retries | 1     |
    And traffic: 3 deadly a second of mapdesk for 12 s
      | key  | value |
      | from | 1     |
    When the traffic enters by all nodes
    Then no attempt of a caller took down more than 2 servers
    And deadly took down at most 3 servers later than 3 s after the third crash
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept

  Scenario Outline: A booking that ends each server that runs it
    # The same fault caused by a booking, which no node retries: each attempt crashes one server,
    # and the caller, who gets 502, repeats the booking, under a new key if it uses keys.
    Given a mesh of 4 mapdesk nodes, whose servers crash on "/deadly" and restart after 1.5 s
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
    Then deadly took down at most 3 servers
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept

    Examples:
      | keyed |
      | false |
      | true  |

  Scenario: A lookup under which each server falls silent
    # A lookup freezes the server that runs it: the server accepts connections but answers nothing,
    # not even health checks, until it is restarted. Neither a refused connection nor a new instance
    # shows the failure, and the lookup spreads through the fleet as it does with a crash.
    Given a mesh of 8 mapdesk nodes, whose servers freeze on "/deadly"
    And traffic: 60 lookups a second of mapdesk for 22 s
      | key     | value |
      | retries | 1     |
    And traffic: 0.4 deadly a second of mapdesk for 20 s
      | key  | value |
      | from | 1     |
    When the traffic enters by all nodes
    Then deadly took down at most 6 servers
    And at least 98% of the lookups of the last 5 s completed
    And every promise is kept

  Scenario: Nodes that stood still, and servers that reset connections, put nothing down to a request
    # A node is frozen for 3 s while its server runs lookups; when it resumes, all of them look lost
    # and its health check unanswered. Another server resets connections and keeps running. If
    # either counted as a crash, common lookups would be quarantined.
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
    Then no node has logged a server crash
    And no request was quarantined
    And every promise is kept
