Feature: A peer that takes nothing off its connections holds nobody up

  # An instance is stopped by a signal, or its host is gone, while large requests are on their way to
  # it: its connections are full, and whatever is sent on them waits. Pings wait there too, so that
  # the connections would live on until TCP gives up, minutes later.

  Scenario: A request is given up there
    # Its deadline has passed, or another node's answer came first. The cancel can't be sent; waiting
    # for that, the caller would be told, or get the other answer, only when the connection ends.
    Given full connections of both classes to a peer that takes nothing off them any more
    When a request that waits there is given up
    Then whoever gave it up goes on at once

  Scenario: The peer is found dead
    # Both connections end at once; one after the other, the requests on the second would wait for
    # the close of the first, which nobody answers.
    Given full connections of both classes to a peer that takes nothing off them any more
    When the peer is told to be dead
    Then all that waited there is unknown

  Scenario: Nobody finds the peer dead
    # Its gossip goes on, but its connections don't: they end by themselves after some seconds.
    Given full connections of both classes to a peer that takes nothing off them any more
    When the peer goes on taking nothing
    Then all that waited there is unknown
