Feature: A backend server that names a rate is given that, hardly less, and never far more

  Scenario Outline: Whatever comes, no 4 s bring it more than its limit allows
    # One and a half times what it named, and 5 besides, from 3 s after it first named it.
    Given a server of 18 slots with work of 160 ms, which gets <before> requests a second
    When it names <rate> a second while <load> come for <seconds> s
    Then from 3 s after that no 4 s bring it more than <most> requests
    And it is given at least <least> of them in the last 4 s

    Examples:
      | before | rate | load | seconds | most | least |
      | 25     | 7.6  | 25   | 12      | 50   | 28    |
      | 40     | 7.6  | 40   | 12      | 50   | 28    |
      | 2      | 7.6  | 100  | 12      | 50   | 28    |
      | 25     | 50   | 25   | 8       | 305  | 95    |

  Scenario Outline: A server that takes next to nothing gets a request now and then
    # It may tell the end of its limit in its answers alone.
    Given a server of 18 slots with work of 160 ms, which gets <load> requests a second
    When it names <rate> a second while <load> come for 16 s
    Then counted from then on no 4 s bring it more than <most> requests
    And it is given at least 1 of them in the last 4 s

    Examples:
      | load | rate | most |
      | 25   | 0.5  | 8    |
      | 25   | 0    | 5    |
      | 100  | 0    | 5    |
      | 100  | 7.6  | 50   |

  Scenario: A limit that falls again and again binds at each step
    Given a server of 18 slots with work of 160 ms, which gets 40 requests a second
    When it names 10 a second while 40 come for 6 s
    And it names 5 a second while 40 come for 6 s
    And it names 1 a second while 40 come for 8 s
    Then in the last 4 s it is given at most 11 of them

  Scenario: A limit that ends leaves what there are slots for
    Given a server of 18 slots with work of 160 ms, which gets 25 requests a second
    When it names 2 a second while 25 come for 6 s
    And it names none while 25 come for 5 s
    Then it is given at least 95 of them in the last 4 s

  Scenario: A first try that would be late goes elsewhere at once, a second one waits its turn
    # Without a goal late is what waits for longer than it runs.
    Given a server of 18 slots with work of 160 ms, which gets 25 requests a second
    When it names 2 a second while 25 come for 6 s
    Then a first try with a goal in 300 ms is refused as rate-limited, to come back in 161 to 700 ms
    And a first try without a goal is refused as rate-limited, to come back in 161 to 700 ms
    And a second try due in 1200 ms waits

  Scenario: A node that has just started begins with nothing to give
    # What its predecessor sent in the seconds before counts at the server.
    Given a server of 18 slots with work of 160 ms, which gets 0 requests a second
    When it names 5 a second while 60 come for 4 s
    Then it is given at most 22 of them

  Scenario: Others are told of it as of a server with few slots
    Given a server of 18 slots with work of 160 ms, which gets 25 requests a second
    When it names 7.6 a second while 25 come for 6 s
    Then it is told of with room for 2 at once

  Scenario: What a cold server bears and what it names both bind
    Given a server of 18 slots with work of 160 ms, which gets 25 requests a second
    When it turns cold, bearing 7.5 a second, and names 4 a second while 25 come for 8 s
    Then in the last 4 s it is given at most 18 of them
