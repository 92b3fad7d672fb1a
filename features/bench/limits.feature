Feature: A play of limits counts as the bound is stated

  Scenario Outline: What a server got is held against one and a half times its limit and 5 besides
    Given a server that announces 5 requests a second at second 10, and node a passes that on at second 11
    When it gets <count> requests of <entry> from second <from> on, one each <gap> s
    Then the fullest window holds <held> of <allowed> allowed, <verdict>

    Examples:
      | count | entry | from | gap  | held | allowed | verdict |
      | 60    | a     | 10   | 0.11 | 37   | 35      | broken  |
      | 60    | a     | 10   | 0.21 | 20   | 35      | within  |
      | 60    | b     | 10   | 0.11 | 0    | 35      | within  |
      | 26    | a     | 10   | 0.11 | 0    | 35      | within  |
      | 45    | a     | 9.5  | 0.11 | 37   | 35      | broken  |

  Scenario: A limit that changes allows what each part of the window does
    Then limits of 10 from second 10 and 2 from second 12 on allow 41 between second 10 and 14

  Scenario: What a leaving server got late is told by where it began
    Given a server that leaves, whose announcement node a passes on at second 5
    When it gets requests that started at node a at second 6.9 and 7.1, and at node b at second 9
    Then one of them arrived later than 2 s after its node was notified

  Scenario: A seed gives one plan
    Then the plans of seed 7 are the same twice, and those of seed 8 are others
