Feature: "Not run" is true

  Scenario: Instances die while requests wait and run
    # There are more bookings than slots. Some are queued at the nodes and some run when two
    # instances die one after the other. A caller that is told "not run" books elsewhere, so it must
    # be true.
    Given a mixed mesh of 1 mapdesk and 3 licencehub nodes
      """
      [services.mapdesk]
      [services.licencehub]
      slots = 2
      urgent_slots = 0
      """
    And traffic: 60 bookings a second of licencehub for 3 s
      | key        | value  |
      | method     | "POST" |
      | service_ms | 100    |
      | timeout_ms | 800    |
    When while traffic enters by mapdesk-1
      | at  | what | whom         |
      | 1.0 | kill | licencehub-2 |
      | 2.0 | kill | licencehub-3 |
    Then every promise is kept
    And some bookings ended as not-run
    And some bookings ended as completed

  Scenario: A node wakes up with old bookings in its sockets
    # A node is frozen. Bookings reach its sockets and their deadlines pass, so their callers are
    # told "unknown". The node that sent them dies, so nothing cancels them. When the frozen node
    # resumes, the frames look new. Running them would make bookings that the callers gave up long
    # ago.
    Given a mixed mesh of 1 mapdesk and 1 licencehub nodes
    And traffic: 10 bookings a second of licencehub for 1 s
      | key        | value  |
      | method     | "POST" |
      | timeout_ms | 400    |
      | from       | 0.3    |
    When while traffic enters by mapdesk-1
      | at  | what   | whom         |
      | 0.0 | freeze | licencehub-2 |
      | 1.2 | kill   | mapdesk-1    |
      | 2.2 | thaw   | licencehub-2 |
    And 1 s pass
    Then every promise is kept
    And some bookings ended as unknown
    And no bookings that ended as unknown ran

  Scenario: Backend servers shed load and drain under their nodes
    # The server itself responds that it did not run a request. The node reports that as "not run",
    # and the request is retried elsewhere, bookings included.
    Given a mesh of 3 licencehub nodes
    And the backend server of licencehub-1 shows {"shed": 0.4}
    And the backend server of licencehub-2 shows {"drain": true, "drain_grace_ms": 0}
    And traffic: 30 bookings a second of licencehub for 2 s
      | key    | value  |
      | method | "POST" |
    When the traffic enters by all nodes
    Then every promise is kept
    And bookings ended only as completed or not-run
    And at least 80% of bookings completed

  Scenario: The store is down while bookings with keys come, and an instance dies
    # Without the store no key can be claimed. Bookings are refused as "not run" with a Retry-After;
    # lookups are served as before. When the store is back, the callers' retried bookings run. One
    # server loses half of its responses, so a booking run without a claim would be run again.
    Given a mixed mesh of 2 mapdesk and 2 licencehub nodes
    And the backend server of licencehub-4 shows {"close_before_answer": 0.5}
    And traffic: 15 bookings a second of licencehub for 4 s
      | key           | value  |
      | method        | "POST" |
      | keyed         | true   |
      | retries       | 8      |
      | retry_wait_ms | 500    |
    And traffic: 30 lookups a second of mapdesk for 4 s
      | key     | value |
      | retries | 2     |
    When while traffic enters by mapdesk-1
      | at  | what  | whom               |
      | 0.5 | store | {"mode": "refuse"} |
      | 1.0 | kill  | licencehub-3       |
      | 2.0 | store | {"mode": "up"}     |
    Then every promise is kept
    And all lookups completed
    And at least 50% of bookings completed

  Scenario: The settings lose a service while its requests are under way
    # A node's service was removed from the settings, and an ingress node that has not learned of it
    # sends it a booking. The booking has not begun, and the caller must be told "not run". As an
    # error of the node it would be reported as unknown, or as "not run" after an attempt that is
    # unknown.
    Given the serving side of a node whose backend server never answers
    And its service is no longer in the settings
    Then a booking that reaches it is refused as not run

  Scenario Outline: An attempt fails with an error that states no outcome
    # Guards against refusing what may have run with the status for "not run".
    Given a dispatcher with nodes that do fail
    When <kind> request is dispatched
    Then the caller gets an unknown outcome with the code internal

    Examples:
      | kind             |
      | a non-idempotent |
      | an idempotent    |
