Feature: A peer that has stopped reading from its connections blocks nobody

  # An instance is stopped by a signal, or its host fails, while large requests are being sent to
  # it. Its connections are full, and everything sent on them waits, pings too. The connections
  # would stay open until TCP times out minutes later.

  Scenario: A request on a full connection is cancelled
    # Its deadline has passed, or another node's response came first. The cancel message can't be
    # sent. If cancelling waited for it, the caller would get its error, or the other response, only
    # when the connection is closed.
    Given full urgent and routine connections to a peer that has stopped reading
    When a request that waits on them is cancelled
    Then its caller continues at once

  Scenario: The peer is found dead
    # Both connections are aborted at once. If they were closed one after the other, the requests on
    # the second would wait for the closing handshake of the first, which nobody answers.
    Given full urgent and routine connections to a peer that has stopped reading
    When the peer is declared dead
    Then the outcome of all waiting requests is unknown

  Scenario: Nobody finds the peer dead
    # Its gossip continues, but its connections are stuck: they are aborted after a few seconds.
    Given full urgent and routine connections to a peer that has stopped reading
    When the peer still does not read
    Then the outcome of all waiting requests is unknown
