Feature: Runs that would lack their calls are not begun
  Runs of one kind are requested 40 times a second at one server. Each needs two calls to a service
  that serves a number of calls a second and refuses the rest; a run fails if one of them is refused.

  Scenario Outline: Where the service that is called is short, fewer runs begin and more of them succeed
    # Each call is served or refused independently. With half of the calls served, one run in four
    # gets both; all others hold slots to the end, and the calls served for them were wasted.
    Given a service that serves <calls> calls a second
    When runs are requested 40 times a second for 20 s
    Then at least <good> runs a second succeed
    And at most 45 in 100 of those that started had a call refused

    Examples:
      | calls | good |
      | 40    | 12   |
      | 20    | 5    |

  Scenario: Where the service that is called has room, every run begins
    Given a service that serves 200 calls a second
    When runs are requested 40 times a second for 20 s
    Then every run started

  Scenario: A single run that lacked its calls holds nothing back
    Given a service that serves 200 calls a second
    When one call is refused for another reason
    And runs are requested 40 times a second for 5 s
    Then every run started

  Scenario: Within 12 s after there is room again all runs begin
    Given a service that serves 20 calls a second
    When runs are requested 40 times a second for 20 s
    And its capacity is 200 calls a second from then on, for 15 s
    Then every run of the last 3 s started
