Feature: A planned stop cuts off no request in progress

  Scenario: A node stops amid long requests, and another one right after it
    # Bookings that take most of a second are in progress when a serving node receives SIGTERM, and
    # an ingress node soon after. New requests are served by other nodes; each accepted booking is
    # completed before its node exits.
    Given a mixed mesh of 2 mapdesk and 3 licencehub nodes
    And traffic: 20 bookings a second of licencehub for 3 s
      | key        | value  |
      | method     | "POST" |
      | service_ms | 600    |
      | timeout_ms | 5000   |
    When while traffic enters by mapdesk-1 and mapdesk-2 and licencehub-4
      | at  | what | whom         |
      | 1.0 | stop | licencehub-3 |
      | 1.5 | stop | mapdesk-2    |
    Then every promise is kept
    And bookings ended only as completed or not-run
    And licencehub-3 exited with status 0 and left nothing unfinished
    And mapdesk-2 exited with status 0 and left nothing unfinished

  Scenario: A node stops amid large answers while the store is down
    # Responses of a megabyte are streamed through two nodes when the serving node receives SIGTERM.
    # Its announcement can't be removed, because the store is down. The responses must be complete.
    Given a mixed mesh of 1 mapdesk and 2 casedesk nodes
    And traffic: 4 files a second of casedesk for 3 s
      | key          | value   |
      | method       | "POST"  |
      | service_ms   | 1800    |
      | answer_bytes | 1000000 |
      | timeout_ms   | 9000    |
    When while traffic enters by mapdesk-1
      | at  | what  | whom               |
      | 0.5 | store | {"mode": "refuse"} |
      | 1.0 | stop  | casedesk-2         |
    Then every promise is kept
    And all files completed
    And casedesk-2 exited with status 0 and left nothing unfinished

  Scenario: A caller whose request is in progress at the stop is told to go elsewhere with the next
    # The response arrives while the node is stopping. If the connection were kept open, it would be
    # closed at the end of the stop, perhaps during the caller's next booking, whose outcome would
    # then be unknown.
    Given a node whose backend servers answer when it stops
    When a lookup is in progress there, and the node stops
    Then the caller gets the answer, and the connection is closed

  Scenario: A node that was replaced under its address stops by itself
    # An instance was suspended, and the platform started a replacement under its addresses. When the
    # old node resumes, it learns that its identity is dead. It must stop gracefully, because the
    # other nodes would not know of the requests that it serves.
    Given a node that is not started
    When its own record turns dead
    Then it asks to be stopped
