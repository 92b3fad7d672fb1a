Feature: Measuring a backend server stays within its budget

  Scenario: A server that fails, freezes and comes back is not read more often for it
    # The settings allow two reads a second. The server fails at speed, then freezes, then is well
    # again; each makes a node want to know more. Its endpoints are read within the budget all along,
    # and read at all.
    Given a mesh of 2 casedesk nodes
      """
      [services.casedesk]
      measuring_per_s = 2
      measuring_share = 0.05
      """
    And traffic: 40 lookups a second of casedesk for 6 s
      | key        | value |
      | timeout_ms | 500   |
    When while traffic enters by all nodes
      | at  | what   | whom                                            |
      | 1.0 | server | casedesk-1 {"fail_fast": 1.0}                   |
      | 2.5 | server | casedesk-1 {"fail_fast": 0.0, "freeze": true}   |
      | 4.0 | server | casedesk-1 {"freeze": false}                    |
    Then every promise is kept
    And the endpoints of casedesk-1 were read at most 20 times and at least 2
    And the endpoints of casedesk-2 were read at most 20 times and at least 2
