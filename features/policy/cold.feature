Feature: A cold backend server is given what it bears, no more and hardly less

  Scenario Outline: Whatever comes, no second brings a cold server more than its bound
    # A server that has just started is idle, so everyone sends to it. Well above what it bears it
    # crashes, and all that it runs is lost. It bears 7.5 requests a second, and may get 19 in one.
    Given a server of 7 slots whose work takes 100 ms, <history>
    When <load> requests a second come for 3 s
    Then no second brings it more than 19 requests
    And it is given at least <least> of them

    Examples:
      | history                            | load | least |
      | that has just started cold         | 50   | 22    |
      | that has just started cold         | 8    | 22    |
      | that has just started cold         | 5    | 14    |
      | that turns cold after 14 a second  | 50   | 14    |
      | that turns cold after 5 a second   | 50   | 22    |

  Scenario: A server that turns cold amid a burst has had most of what it may get
    Given a server of 20 slots whose work takes 20 ms, that turns cold after 16 in 100 ms
    When 50 requests a second come for 2 s
    Then no second brings it more than 19 requests

  Scenario: A node that has just started does not know what its cold server got before
    # The process beside a cold server is killed and is back within a second. What its predecessor sent
    # in that second counts at the server.
    Given a server of 7 slots whose work takes 100 ms, cold since before its node started
    When 50 requests a second come for 2 s
    Then nothing begins within the first second of the node
    And no second brings it more than 15 requests

  Scenario: A server that is warm again gets what it has slots for
    Given a server of 7 slots whose work takes 100 ms, that has just started cold
    When 50 requests a second come for 3 s
    And it says that it is warm
    And 50 requests a second come for 1 s
    Then it is given at least 45 of them in the last second

  Scenario: What a cold server can't begin in time is refused at once
    # Nobody waits in vain: a request that could only begin after its deadline is told so on arrival.
    Given a server of 7 slots whose work takes 100 ms, that has just started cold
    When 50 requests a second come for 3 s
    And 0 requests a second come for 1 s
    Then each refusal came at once, with a time to come back
    And of those that waited at least 90 in 100 began

  Scenario: What a cold server bears goes to the first rank
    Given a server of 7 slots whose work takes 100 ms, that has just started cold
    When 6 requests of rank 0 and 20 of rank 2 a second come for 3 s
    Then at least 90 in 100 of rank 0 begin

  Scenario: Others are told of a cold server as of one with few slots
    Given a server of 7 slots whose work takes 200 ms, that has just started cold
    When 8 requests a second come for 2 s
    Then it is told of with a limit of 2
    When it says that it is warm
    Then it is told of with a limit of 7
