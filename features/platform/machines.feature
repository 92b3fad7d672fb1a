Feature: What machines do to a node: suspensions, clocks that jump, connections that go silent

  Scenario: A machine that was suspended does not go on as if nothing had happened
    # The machine stands still for five seconds; the clock that its timers use doesn't count them.
    # What the node believes to be in force may have been replaced meanwhile. It serves nobody until
    # it has asked, and callers wait for that.
    Given a fleet on the platform: mapdesk, mapdesk
    When the machines are suspended for 5 s
    Then the first request through node 1 is answered 200, and the node had asked what is in force
    And a request through node 1 is answered 200 within 2 s

  Scenario: A machine that was suspended refuses where it can't know what is in force
    # No machine has seen the last five seconds, and the store does not answer.
    Given a fleet on the platform: mapdesk, mapdesk
    When the store goes away
    And the machines are suspended for 5 s
    Then the first request through node 1 is refused with when to come back
    When the store comes back
    Then a request through node 1 is answered 200 within 5 s

  Scenario Outline: A time of day that jumps changes nothing
    # A machine's clock is set <way> by seconds. Deadlines and beliefs go by the time since the start
    # of the machine, so callers are served on and no node is lost.
    Given a fleet on the platform: mapdesk, mapdesk
    When the time of day jumps by <seconds> s
    Then for 1.5 s requests through node 1 are answered 200
    And node 1 still knows 2 members

    Examples:
      | way     | seconds |
      | forward | 4       |
      | back    | -4      |

  Scenario: Silence is noticed on each connection that a node keeps
    # A machine loses power, or a link is cut, and nothing resets the connections. Whoever waits on
    # one would wait until a timeout of minutes.
    Given a fleet on the platform: mapdesk, licencehub
    When a client asks node 2 for "/tiles/7"
    Then node 2 notices silence on its connections to the other node
    And node 1 notices silence on its connections to its backend server
