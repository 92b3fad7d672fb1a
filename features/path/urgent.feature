Feature: Urgent requests don't wait behind routine ones

  Scenario: Dispatch asks amid a surge of long routine requests, and an instance dies
    # Routine requests of four seconds fill the queues and every slot that they may use. Urgent
    # lookups have a deadline of half a second, which one that waited for a routine one would miss.
    Given a mesh of 3 mapdesk nodes
      """
      [services.mapdesk]
      slots = 4
      urgent_slots = 2
      """
    And traffic: 8 surveys a second of mapdesk for 4 s
      | key        | value |
      | service_ms | 4000  |
      | timeout_ms | 15000 |
    And traffic: 10 alarms a second of mapdesk for 3 s
      | key        | value |
      | from       | 1     |
      | urgent     | true  |
      | service_ms | 20    |
      | timeout_ms | 500   |
      | retries    | 2     |
    When while traffic enters by mapdesk-1 and mapdesk-2
      | at  | what | whom      |
      | 2.5 | kill | mapdesk-3 |
    Then every promise is kept
    And all alarms completed

  Scenario: Urgent lookups while large routine bodies fill the connections
    # Routine uploads and responses of several megabytes saturate the connections between two nodes.
    # Urgent lookups are sent on connections of their own.
    Given a mixed mesh of 1 mapdesk and 1 casedesk nodes
    And traffic: 10 filings a second of casedesk for 3 s
      | key          | value   |
      | method       | "POST"  |
      | body_bytes   | 3000000 |
      | answer_bytes | 3000000 |
      | timeout_ms   | 9000    |
    And traffic: 10 alarms a second of casedesk for 2 s
      | key        | value |
      | from       | 0.5   |
      | urgent     | true  |
      | timeout_ms | 2000  |
    When the traffic enters by mapdesk-1
    Then every promise is kept
    And all alarms completed

  Scenario: Routine refusals leave the urgent requests their second tries
    # A surge of routine requests is rejected everywhere and has used up its retry budget. An urgent
    # request whose first attempt meets a dead instance is still retried at another one.
    Given the budgets of a service whose routine retries are used up
    Then an urgent request that certainly did not run may be retried
    And a routine request that certainly did not run may not be retried
