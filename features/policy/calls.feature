Feature: Runs that would lack their calls are not begun
  Runs of one kind are asked for 40 times a second beside one server. Each needs two calls to a service
  that serves some calls a second and refuses the rest; a run that lacks one has run in vain.

  Scenario Outline: Where the service that is called is short, fewer runs begin and more of them succeed
    # Each call is served or refused by itself. With half of the calls served, one run in four gets
    # both; all others hold slots to the end, and the calls served for them were in vain.
    Given a service that serves <calls> calls a second
    When runs are asked for 40 times a second for 20 s
    Then at least <good> runs a second succeed
    And at most 45 in 100 of those that began lacked a call

    Examples:
      | calls | good |
      | 40    | 12   |
      | 20    | 5    |

  Scenario: Where the service that is called has room, every run begins
    Given a service that serves 200 calls a second
    When runs are asked for 40 times a second for 20 s
    Then every run began

  Scenario: A single run that lacked its calls holds nothing back
    Given a service that serves 200 calls a second
    When one call is refused for another reason
    And runs are asked for 40 times a second for 5 s
    Then every run began

  Scenario: Within 12 s after there is room again all runs begin
    Given a service that serves 20 calls a second
    When runs are asked for 40 times a second for 20 s
    And it serves 200 calls a second from then on, for 15 s
    Then every run of the last 3 s began
