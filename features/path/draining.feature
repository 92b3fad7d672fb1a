Feature: A backend server that is leaving gets no new work after a few seconds

  Scenario: A backend server drains by its own word while the store is down
    # The server's health endpoint reports draining, although the server would still accept requests.
    # Its node notices within the health check budget, rejects new requests and informs the other
    # nodes without the store. The requests are served elsewhere; none fails because of this.
    Given a mesh of 3 mapdesk nodes
    And traffic: 60 lookups a second of mapdesk for 6 s
    When while traffic enters by all nodes
      | at  | what   | whom                                                |
      | 0.5 | store  | {"mode": "drop"}                                    |
      | 1.0 | server | mapdesk-2 {"drain": true, "drain_grace_ms": 100000} |
    Then all lookups completed
    And every promise is kept
    And mapdesk-2 had run some before
    And mapdesk-2 ran nothing from second 4.5 on

  Scenario: A backend server drains while a node that sends it work was frozen
    # The ingress node is suspended when the server starts to drain. After it resumes it still
    # considers the server ready; the node beside the server rejects the request, which is then
    # served elsewhere.
    Given a mixed mesh of 1 mapdesk and 2 casedesk nodes
    And traffic: 40 lookups a second of casedesk for 5 s
      | key     | value |
      | retries | 3     |
    When while traffic enters by mapdesk-1
      | at  | what   | whom                                                 |
      | 1.0 | freeze | mapdesk-1                                            |
      | 1.1 | server | casedesk-2 {"drain": true, "drain_grace_ms": 100000} |
      | 2.5 | thaw   | mapdesk-1                                            |
    Then every promise is kept
    And casedesk-2 had run some before
    And casedesk-2 ran nothing from second 4.5 on
