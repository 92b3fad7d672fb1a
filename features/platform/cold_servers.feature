Feature: A cold backend server gets no more than it bears, from all nodes together

  Scenario Outline: What reaches a cold server in any second stays within its bound
    # Callers of two nodes send a burst to a service whose servers have just restarted and are cold. A
    # cold server can run 7.5 requests a second, and 19 in one second overload it until it crashes.
    Given cold servers on the platform beside mapdesk at east, mapdesk at west, which are known to be cold <how>
    When 120 requests come through all nodes within 2 s
    Then no server was sent more than 19 requests in a second while it was cold
    And at least 25 of them were answered 200
    And each of the others was refused at once with a retry hint

    Examples:
      | how                                          |
      | by their health                              |
      | by their heartbeats alone                    |
      | by their start alone, before any heartbeat   |

  Scenario: A server that turns cold while it runs is held to what it bears
    Given cold servers on the platform beside mapdesk at east, which are known to be cold by their health
    And they are warm
    When 40 requests come through all nodes within 2 s
    And they turn cold
    And 120 requests come through all nodes within 2 s
    Then no server was sent more than 19 requests in a second while it was cold

  Scenario: A server that is warm is not held back
    Given cold servers on the platform beside mapdesk at east, which are known to be cold by their health
    And they are warm
    When 100 requests come through all nodes within 2 s
    Then at least 100 of them were answered 200
