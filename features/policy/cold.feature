Feature: A cold backend server is given what it bears, no more and hardly less

  Scenario Outline: Whatever comes, no second brings a cold server more than its bound
    # A server that has just started is idle, so all nodes send to it. Far above its cold capacity it
    # crashes, and all requests it runs are lost. It can take 7.5 requests a second, and may get 19
    # within one second.
    Given a server of 7 slots whose work takes 100 ms, <history>
    When <load> requests a second arrive for 3 s
    Then at most 19 requests start within any second
    And at least <least> of them start

    Examples:
      | history                             | load | least |
      | that has just started cold          | 50   | 22    |
      | that has just started cold          | 8    | 22    |
      | that has just started cold          | 5    | 14    |
      | that becomes cold after 14 a second  | 50   | 14    |
      | that becomes cold after 5 a second   | 50   | 22    |

  Scenario: A server that turns cold amid a burst has had most of what it may get
    Given a server of 20 slots whose work takes 20 ms, that becomes cold after 16 in 100 ms
    When 50 requests a second arrive for 2 s
    Then at most 19 requests start within any second

  Scenario: A node that has just started does not know what its cold server got before
    # The node beside a cold server is killed and back within a second. What its previous process sent
    # in that second counts at the server.
    Given a server of 7 slots whose work takes 100 ms, cold since before its node started
    When 50 requests a second arrive for 2 s
    Then nothing starts in the node's first second
    And at most 15 requests start within any second

  Scenario: A server that is warm again gets what it has slots for
    Given a server of 7 slots whose work takes 100 ms, that has just started cold
    When 50 requests a second arrive for 3 s
    And it reports that it is warm
    And 50 requests a second arrive for 1 s
    Then at least 45 of them start in the last second

  Scenario: What a cold server can't begin in time is refused at once
    # A request that could only start after its deadline waits for nothing instead of being rejected
    # on arrival.
    Given a server of 7 slots whose work takes 100 ms, that has just started cold
    When 50 requests a second arrive for 3 s
    And 0 requests a second arrive for 1 s
    Then each rejection came at once, with a retry delay
    And at least 90 in 100 of the queued ones started

  Scenario: What a cold server bears goes to the first rank
    Given a server of 7 slots whose work takes 100 ms, that has just started cold
    When 6 requests of rank 0 and 20 of rank 2 a second arrive for 3 s
    Then at least 90 in 100 of rank 0 start

  Scenario: Others are told of a cold server as of one with few slots
    Given a server of 7 slots whose work takes 200 ms, that has just started cold
    When 8 requests a second arrive for 2 s
    Then it is reported with a limit of 2
    When it reports that it is warm
    Then it is reported with a limit of 7
