Feature: A play of callers with keys counts as the bounds are stated

  Scenario Outline: What a workspace got in any 5 s is held against its quota, a tenth and 20 more
    Given a workspace with a quota of 10 a second and a burst of 10
    When <count> of its requests run, one each <gap> s, <later> s after they were sent
    Then the worst window holds <excess> more than allowed

    Examples:
      | count | gap  | later | excess |
      | 200   | 0.04 | 0.1   | 40     |
      | 200   | 0.1  | 0.1   | -35    |
      | 200   | 0.04 | 6     | -86    |

  Scenario Outline: What one bucket would have admitted
    Given a workspace with a quota of 2 a second and a burst of 3
    When <count> of its requests arrive, one each <gap> s
    Then a single bucket admits <admitted> of them

    Examples:
      | count | gap  | admitted |
      | 10    | 0.5  | 10       |
      | 9     | 0.25 | 7        |
      | 5     | 0    | 3        |

  Scenario: A seed gives one plan
    Then the plans of callers with keys of seed 7 are the same twice, and those of seed 8 are others
