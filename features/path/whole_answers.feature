Feature: A caller gets the whole answer to its own request, never part of another's

  Scenario: Backend servers break off in the middle of answers
    # Some responses, small and large, are truncated. A small response is read completely before any
    # of it is forwarded, so the lookup can be retried elsewhere. The head of a large response has
    # already been forwarded; the caller's connection must be aborted, never ended as if the response
    # were complete.
    Given a mesh of 3 mapdesk nodes
    And the backend server of mapdesk-1 shows {"truncate": 0.3}
    And the backend server of mapdesk-2 shows {"truncate": 0.3}
    And traffic: 30 tiles a second of mapdesk for 2 s
      | key          | value |
      | answer_bytes | 20000 |
      | retries      | 3     |
    And traffic: 15 charts a second of mapdesk for 2 s
      | key          | value  |
      | answer_bytes | 600000 |
    When the traffic enters by all nodes
    Then every promise is kept
    And all tiles completed
    And charts ended only as completed or unknown

  Scenario: Answers come late, after their requests were given up
    # Deadlines are short and servers stall, so many requests time out while their responses are on
    # the way. Each late response must be dropped; the next request on that connection must get its
    # own response.
    Given a mixed mesh of 1 mapdesk and 2 casedesk nodes
    And the backend server of casedesk-2 shows {"late": 0.5, "late_ms": 150}
    And the backend server of casedesk-3 shows {"late": 0.5, "late_ms": 150}
    And traffic: 100 lookups a second of casedesk for 3 s
      | key        | value |
      | timeout_ms | 100   |
    When the traffic enters by mapdesk-1
    Then every promise is kept
    And some lookups ended as completed

  Scenario: Instances die while large answers are on the way
    # A large response is streamed through two nodes when the serving instance crashes, and later
    # when only a node crashes. The caller must be able to detect the truncation, also if the length
    # of the response was not stated.
    Given a mixed mesh of 1 mapdesk and 3 casedesk nodes
    And traffic: 40 files a second of casedesk for 3 s
      | key          | value   |
      | answer_bytes | 1500000 |
      | timeout_ms   | 3000    |
    And traffic: 20 chunked-files a second of casedesk for 3 s
      | key          | value   |
      | answer_bytes | 9000000 |
      | timeout_ms   | 3000    |
    When while traffic enters by mapdesk-1
      | at  | what      | whom       |
      | 1.0 | kill      | casedesk-2 |
      | 2.0 | kill node | casedesk-3 |
    Then every promise is kept
    And some files ended as completed

  Scenario: Large bodies travel to the backend server whole
    # Uploads that are too large to be buffered are streamed through two nodes, and the server's
    # digest of the received body is compared with what was sent. One server crashes meanwhile.
    Given a mixed mesh of 1 mapdesk and 3 casedesk nodes
    And traffic: 15 filings a second of casedesk for 2 s
      | key        | value   |
      | method     | "POST"  |
      | body_bytes | 1000000 |
      | timeout_ms | 4000    |
    When while traffic enters by mapdesk-1
      | at  | what | whom       |
      | 1.0 | kill | casedesk-4 |
    Then every promise is kept
    And at least 80% of filings completed
