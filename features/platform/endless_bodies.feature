Feature: A body without end ends with its request
  A body that states no length and goes on can't be told from a long one; only time ends it.

  Scenario Outline: A server answers a booking with a body without end
    # Guards against reading on after the deadline, and against others that wait for it.
    Given a fleet on the platform: mapdesk, mapdesk, licencehub
    And every server answers the next booking with a body without end
    When a client books through node <node> with 1000 ms left, and asks for "/tiles/7" meanwhile
    Then its booking was cut off between 0.8 and 1.5 s later
    And each lookup got its answer within 0.5 s
    And no connection to a server is kept busy

    Examples:
      | node |
      | 1    |
      | 3    |
