Feature: A non-idempotent request runs at most once

  Scenario: An instance dies amid bookings
    # Callers send bookings without an idempotency key. When a serving instance crashes, it is unknown
    # whether its bookings have run. A retry could run them twice, so the callers get "unknown" and
    # nothing is retried.
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
    # Renewals use PUT, which the settings declare non-idempotent. The server runs the renewal and
    # closes the persistent connection before it responds. HTTP libraries retry PUT automatically in
    # this case; the customer would be billed twice.
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
    # Each booking has an idempotency key. A third of the responses is lost after the booking has
    # run, and one instance crashes. Callers retry through any node until they get a response. The
    # key is claimed in the store before the first run, so the booking can't run a second time.
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
    # A caller sends each booking twice at the same time through different nodes. Both nodes claim
    # the key, and the store applies some of the claims but loses its responses. One attempt must run;
    # the other is rejected as a duplicate in progress or gets the recorded response.
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
    # Bookings with keys are in progress at a node that is suspended for two seconds. Callers time out
    # and retry through other nodes. After the node resumes, it must neither dispatch requests on
    # outdated claims nor cause the other attempts to run a second time.
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
    # Slow lookups are hedged: a second attempt is sent to another server and the first response is
    # used. A slow booking is running at its server; a hedged one would book twice.
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
