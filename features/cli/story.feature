Feature: One request's story is read from the logs of many nodes
  An engineer has a request id from a user's report, and the log files of the nodes.

  Scenario: Tries, failures and the final answer come in order, though clocks differ
    # The serving node's clock is two seconds ahead, so the timestamp of the failure is after that of
    # the response that it caused.
    Given a log file with the lines
      | line |
      | 1.5 n1 {"event": "ingress.refused", "node": "n1", "request": "r7", "code": "backend-failed", "timestamp": "2026-08-06T03:15:05.500000Z", "tries": [{"node": "n2", "outcome": "backend-failed", "ms": 90.1, "slowdown": 4.0, "age_ms": 12}]} |
      | 1.4 n2 {"event": "serving.failed", "node": "n2", "request": "r7", "code": "backend-failed", "timestamp": "2026-08-06T03:15:07.400000Z"} |
      | 1.4 n2 {"event": "serving.failed", "node": "n2", "request": "r8", "code": "deadline", "timestamp": "2026-08-06T03:15:07.400000Z"} |
      | Traceback of something else |
    When the operator traces "r7" in that file
    Then the timeline contains "serving.failed", "try 1: node=n2", "ingress.refused" in this order
    And the timeline does not contain "r8"
