Feature: Urgent requests don't wait behind routine ones

  Scenario: Urgent lookups while large routine bodies fill the connections
    # Routine uploads and answers of megabytes keep the connections between two nodes full. Urgent
    # lookups travel on connections of their own.
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
