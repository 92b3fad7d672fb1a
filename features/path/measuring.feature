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

  Scenario: A backend server gets no more connections than the settings allow
    # The server takes 7 connections and refuses more. Its node must know the number from the settings,
    # and go by a changed one at once.
    Given a node that is not started
    When settings with 7 connections come into force there
    Then it opens at most 7 connections to its backend server

  Scenario: A backend server without a health endpoint counts as ready
    # The settings name no path. Read as a path all the same, the server would look down for ever, and
    # its node would take no request.
    Given the serving side of a node whose backend server never answers
    When its health is read with no path in the settings
    Then the backend server counts as ready
