Feature: Measuring a backend server stays within its budget

  Scenario: A server that fails, freezes and comes back is not read more often for it
    # The settings allow two health checks a second. The server fails quickly, then freezes, then
    # recovers; each of these could trigger additional checks. The checks must stay within the budget
    # throughout, and must not cease.
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

  Scenario: A backend server gets no more connections than the settings allow
    # The server accepts 7 connections and refuses more. Its node must take the limit from the
    # settings and apply a change at once.
    Given a node that is not started
    When settings with 7 connections come into force there
    Then it opens at most 7 connections to its backend server

  Scenario: A backend server without a health endpoint counts as ready
    # The settings contain no health path. If the empty path were checked anyway, the server would
    # always look down, and its node would accept no requests.
    Given the serving side of a node whose backend server never answers
    When its health is read with no path in the settings
    Then the backend server counts as ready
