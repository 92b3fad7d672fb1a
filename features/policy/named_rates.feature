Feature: A backend server that names a rate is given that, hardly less, and never far more

  Scenario Outline: Whatever comes, no 4 s bring it more than its limit allows
    # The bound is one and a half times the requested rate plus 5, from 3 s after the first request.
    Given a server of 18 slots with work of 160 ms, which gets <before> requests a second
    When it requests <rate> a second while <load> arrive for <seconds> s
    Then from 3 s after that at most <most> requests start within any 4 s
    And at least <least> of them start in the last 4 s

    Examples:
      | before | rate | load | seconds | most | least |
      | 25     | 7.6  | 25   | 12      | 50   | 28    |
      | 40     | 7.6  | 40   | 12      | 50   | 28    |
      | 2      | 7.6  | 100  | 12      | 50   | 28    |
      | 25     | 50   | 25   | 8       | 305  | 95    |

  Scenario Outline: A server that takes next to nothing gets a request now and then
    # It may announce the end of its limit only in responses.
    Given a server of 18 slots with work of 160 ms, which gets <load> requests a second
    When it requests <rate> a second while <load> arrive for 16 s
    Then counted from then on at most <most> requests start within any 4 s
    And at least 1 of them start in the last 4 s

    Examples:
      | load | rate | most |
      | 25   | 0.5  | 8    |
      | 25   | 0    | 5    |
      | 100  | 0    | 5    |
      | 100  | 7.6  | 50   |

  Scenario: A limit that falls again and again binds at each step
    Given a server of 18 slots with work of 160 ms, which gets 40 requests a second
    When it requests 10 a second while 40 arrive for 6 s
    And it requests 5 a second while 40 arrive for 6 s
    And it requests 1 a second while 40 arrive for 8 s
    Then in the last 4 s at most 11 of them start

  Scenario: A limit that ends leaves what there are slots for
    Given a server of 18 slots with work of 160 ms, which gets 25 requests a second
    When it requests 2 a second while 25 arrive for 6 s
    And it requests no limit while 25 arrive for 5 s
    Then at least 95 of them start in the last 4 s

  Scenario: A first try that would be late goes elsewhere at once, a second one waits its turn
    # A request without a goal is late if it waits for longer than it runs.
    Given a server of 18 slots with work of 160 ms, which gets 25 requests a second
    When it requests 2 a second while 25 arrive for 6 s
    Then a first attempt with a goal in 300 ms is rejected as rate-limited, to retry in 161 to 700 ms
    And a first attempt without a goal is rejected as rate-limited, to retry in 161 to 700 ms
    And a second attempt due in 1200 ms is queued

  Scenario: A node that has just started begins with nothing to give
    # What its previous process sent in the seconds before counts at the server.
    Given a server of 18 slots with work of 160 ms, which gets 0 requests a second
    When it requests 5 a second while 60 arrive for 4 s
    Then at most 22 of them start

  Scenario: Others are told of it as of a server with few slots
    Given a server of 18 slots with work of 160 ms, which gets 25 requests a second
    When it requests 7.6 a second while 25 arrive for 6 s
    Then it is reported with a concurrency of 2

  Scenario: What a cold server bears and what it names both bind
    Given a server of 18 slots with work of 160 ms, which gets 25 requests a second
    When it becomes cold with 7.5 a second, and requests 4 a second while 25 arrive for 8 s
    Then in the last 4 s at most 18 of them start
