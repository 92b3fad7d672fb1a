Feature: One request's story is read from the logs of many nodes
  An engineer has a request's id from an angry user, and log files.

  Scenario: Tries, failures and the final answer come in order, though clocks differ
    # The serving node's clock is two seconds ahead: by its times the failure comes after the answer
    # that it led to.
    Given a log file with the lines
      | line |
      | 1.5 n1 {"event": "ingress.refused", "node": "n1", "request": "r7", "code": "backend-failed", "timestamp": "2026-08-06T03:15:05.500000Z", "tries": [{"node": "n2", "outcome": "backend-failed", "ms": 90.1, "slowdown": 4.0, "age_ms": 12}]} |
      | 1.4 n2 {"event": "serving.failed", "node": "n2", "request": "r7", "code": "backend-failed", "timestamp": "2026-08-06T03:15:07.400000Z"} |
      | 1.4 n2 {"event": "serving.failed", "node": "n2", "request": "r8", "code": "deadline", "timestamp": "2026-08-06T03:15:07.400000Z"} |
      | Traceback of something else |
    When the operator traces "r7" in that file
    Then the story names "serving.failed", "try 1: node=n2", "ingress.refused" in this order
    And the story does not name "r8"
