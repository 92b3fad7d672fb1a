Feature: A non-idempotent request runs at most once

  Scenario: An instance dies amid bookings
    # The caller books without a key. The instance that serves some of the bookings dies; their
    # connections break, and nobody can know whether they ran. Sent again elsewhere they could run
    # twice, so the caller is told "unknown" and nothing is sent again.
    Given a mixed mesh of 1 mapdesk and 3 licencehub nodes
    And traffic: 60 bookings a second of licencehub for 3 s
      | key        | value  |
      | method     | "POST" |
      | body_bytes | 500    |
      | service_ms | 60     |
    When while traffic enters by mapdesk-1
      | at  | what | whom         |
      | 1.0 | kill | licencehub-2 |
      | 2.0 | kill | licencehub-3 |
    Then every promise is kept
    And some bookings ended as completed

  Scenario: Backend servers run bookings and break the connection before they answer
    # A renewal is made by PUT, which the settings call non-idempotent. The server runs it and its
    # kept connection breaks before the answer. HTTP libraries send a PUT again by themselves then;
    # the franchisee would be billed twice.
    Given a mesh of 2 licencehub nodes
      """
      [services.licencehub]
      idempotent = "no"
      """
    And the backend server of licencehub-1 shows {"close_before_answer": 0.5}
    And the backend server of licencehub-2 shows {"close_before_answer": 0.5}
    And traffic: 40 renewals a second of licencehub for 2 s
      | key        | value |
      | method     | "PUT" |
      | body_bytes | 200   |
    When the traffic enters by all nodes
    Then every promise is kept
    And some renewals ended as unknown
    And some renewals ended as completed

  Scenario: Callers repeat bookings with a key while servers lose answers and an instance dies
    # Each booking has an idempotency key. A third of the answers is lost after the run, and one
    # instance dies. The callers send the same booking again, through whatever node, until they have
    # an answer. The key was claimed in the store before the first run, so no second one happens.
    Given a mixed mesh of 2 mapdesk and 3 licencehub nodes
    And the backend server of licencehub-3 shows {"close_before_answer": 0.3}
    And the backend server of licencehub-4 shows {"close_before_answer": 0.3}
    And traffic: 30 bookings a second of licencehub for 3 s
      | key           | value  |
      | method        | "POST" |
      | body_bytes    | 500    |
      | keyed         | true   |
      | retries       | 3      |
      | retry_wait_ms | 100    |
    When while traffic enters by all nodes
      | at  | what | whom         |
      | 1.5 | kill | licencehub-5 |
    Then every promise is kept
    And some bookings ended as completed

  Scenario: Two nodes race with one key while the store loses the answers to writes
    # An impatient caller sends each booking twice at the same moment, through different nodes. Both
    # claim the key; the store applies some of the claims and loses the answers. One try runs; the
    # other is told of a request in progress, or gets the recorded answer.
    Given a mixed mesh of 2 mapdesk and 2 licencehub nodes
    And traffic: 15 bookings a second of licencehub for 3 s
      | key        | value  |
      | method     | "POST" |
      | body_bytes | 500    |
      | keyed      | true   |
      | twice      | true   |
    When while traffic enters by all nodes
      | at  | what  | whom                |
      | 0.5 | store | {"lose_answers": 5} |
      | 1.5 | store | {"lose_answers": 5} |
    Then every promise is kept
    And some bookings ended as completed

  Scenario: The node that holds claims is frozen, comes back, and its callers have gone elsewhere
    # Bookings with keys are in progress at a node that is stopped for two seconds. The callers time
    # out and repeat them through others. When the node goes on, it must neither dispatch on what it
    # knew before nor make the others' tries run a second time.
    Given a mixed mesh of 2 mapdesk and 2 licencehub nodes
    And traffic: 30 bookings a second of licencehub for 4 s
      | key           | value  |
      | method        | "POST" |
      | body_bytes    | 500    |
      | keyed         | true   |
      | service_ms    | 250    |
      | timeout_ms    | 900    |
      | retries       | 3      |
      | retry_wait_ms | 200    |
    When while traffic enters by mapdesk-1 and mapdesk-2
      | at  | what   | whom         |
      | 1.0 | freeze | licencehub-3 |
      | 3.0 | thaw   | licencehub-3 |
    Then every promise is kept
    And some bookings ended as completed

  Scenario: One server is slow, and bookings to it are not sent to another beside it
    # Where a lookup is slow, a second one is sent to another server and the first answer wins. A
    # booking that is slow at a server is running there; a second one would book twice.
    Given a mesh of 3 licencehub nodes
      """
      [services.licencehub]
      hedge_budget = 0.5
      """
    And the backend server of licencehub-1 shows {"slow_factor": 20}
    And traffic: 60 bookings a second of licencehub for 3 s
      | key    | value  |
      | method | "POST" |
    When the traffic enters by all nodes
    Then every promise is kept
    And some bookings ended as completed
