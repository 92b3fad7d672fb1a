Feature: What machines do to a node: suspensions, clocks that jump, connections that go silent

  Scenario: A machine that was suspended does not go on as if nothing had happened
    # The machine is suspended for five seconds, which the clock of its timers does not count. The
    # node's settings may have been replaced meanwhile, so it has requests wait until it has checked
    # that they are current.
    Given a fleet on the platform: mapdesk, mapdesk
    When the machines are suspended for 5 s
    Then the first request through node 1 is answered 200, after the node has checked that its settings are current
    And a request through node 1 is answered 200 within 2 s

  Scenario: A machine that was suspended refuses where it can't know what is in force
    # All machines were suspended for five seconds, and the store does not answer.
    Given a fleet on the platform: mapdesk, mapdesk
    When the store goes away
    And the machines are suspended for 5 s
    Then the first request through node 1 is refused with a retry hint
    When the store comes back
    Then a request through node 1 is answered 200 within 5 s

  Scenario Outline: A time of day that jumps changes nothing
    # A machine's wall clock is set <way> by seconds. Deadlines and the age of what a node knows are
    # measured by the time since boot, so requests are served and no node is lost from the view.
    Given a fleet on the platform: mapdesk, mapdesk
    When the time of day jumps by <seconds> s
    Then for 1.5 s requests through node 1 are answered 200
    And node 1 still knows 2 members

    Examples:
      | way     | seconds |
      | forward | 4       |
      | back    | -4      |

  Scenario: Silence is noticed on each connection that a node keeps
    # A machine loses power or a link is cut, and nothing resets the connections. Without TCP
    # timeouts, a request on one would hang for minutes.
    Given a fleet on the platform: mapdesk, licencehub
    When a client asks node 2 for "/tiles/7"
    Then node 2 detects silent peers on its connections to the other node
    And node 1 detects silent peers on its connections to its backend server
