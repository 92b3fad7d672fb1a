Feature: All nodes learn of a change although those that read the store hear nothing

  Nodes keep what they know of the store because nobody contradicts it. Settings, checks and the
  client of the store are a node's own, in virtual time.

  Scenario Outline: The nodes that read the store get no answer while the settings change
    # Requests are run by a service that an acknowledged change has replaced: the answers to all
    # watches are lost, and nodes that don't watch confirm each other.
    Given a fleet of <nodes> nodes whose store gives <what> to <who> for <seconds> s
    When the configuration changes <after> s later
    Then all nodes know of it within 2 s in <seeds> plays from seed 0

    Examples:
      | nodes | who                            | what                | seconds | after | seeds |
      | 9     | those that read it             | silence             | 4       | 0.3   | 4     |
      | 9     | those that read it             | silence             | 0.5     | 0.3   | 4     |
      | 9     | a third                        | silence             | 4       | 0.3   | 4     |
      | 18    | those that read it             | silence             | 4       | 0.5   | 4     |
      | 18    | those that read it             | resets              | 4       | 0.5   | 4     |
      | 18    | those that read it             | refusals            | 4       | 0.5   | 4     |
      | 18    | those that read it             | silence of watches  | 4       | 0.5   | 4     |
      | 18    | those that read it             | resets of watches   | 4       | 0.5   | 4     |
      | 18    | those that read it             | refusals of watches | 4       | 0.5   | 4     |
      | 18    | those that read it             | silence             | 0.5     | 0.3   | 4     |
      | 18    | those that read it, then again | silence             | 0.6     | 0.9   | 4     |
      | 18    | those that read it, then again | silence             | 4       | 4.5   | 4     |
      | 195   | a third                        | silence             | 4       | 0.5   | 1     |

  Scenario: The connections of all watches go silent while new ones work
    # The store has answered all along, and the fleet hears of a change half a minute late.
    Given a fleet of 18 nodes whose watches' connections have gone silent
    When the configuration changes 0.5 s later
    Then all nodes know of it within 2 s in 4 plays from seed 0

  Scenario Outline: The settings change around the end of an outage of the whole store
    # Circuit breakers and pauses between attempts last longer than the outage. Nodes serve by
    # replaced settings until the first of them ends.
    Given a fleet of <nodes> nodes whose store gives <what> to all nodes for 8 s
    When the configuration changes <after> s later
    Then all nodes know of it within 2 s, or 3 s after the end, in 4 plays from seed <seed>

    Examples:
      | nodes | what     | after | seed |
      | 3     | resets   | 8.45  | 3    |
      | 3     | resets   | 9     | 30   |
      | 9     | resets   | 8.45  | 0    |
      | 9     | resets   | 2     | 0    |
      | 9     | silence  | 8.45  | 0    |
      | 9     | refusals | 8.45  | 0    |
      | 18    | resets   | 8.45  | 0    |

  Scenario Outline: The nodes that read the store get no answer while a data centre is evacuated
    # Backend servers of the evacuated data centre go on running requests for half a minute.
    Given a fleet of <nodes> nodes whose store gives <what> to <who> for <seconds> s
    When a data centre is evacuated <after> s later
    Then all nodes know of it within 5 s in <seeds> plays from seed 0

    Examples:
      | nodes | who                            | what                | seconds | after | seeds |
      | 9     | those that read it             | silence             | 4       | 0.3   | 4     |
      | 18    | those that read it             | silence             | 4       | 0.5   | 4     |
      | 18    | those that read it             | resets              | 4       | 0.5   | 4     |
      | 18    | those that read it             | silence of watches  | 0.5     | 0.3   | 4     |
      | 18    | those that read it, then again | silence             | 4       | 4.5   | 4     |
      | 195   | a third                        | silence             | 4       | 0.5   | 1     |

  Scenario: A data centre is evacuated where the configuration takes long to arrive
    # Guards against checks that never succeed, and that read no evacuations, since the settings
    # come first and take longer than a short timeout.
    Given a fleet of 9 nodes whose watches' connections have gone silent
    And their configuration takes 1 s to arrive
    When a data centre is evacuated 0.5 s later
    Then all nodes know of it within 5 s in 4 plays from seed 0

  Scenario Outline: The nodes that read the store get no answer while it is restored from a copy
    # Nodes hold versions, evacuations and announcements that the copy may lack, and write none of
    # them again for half a minute.
    Given a fleet of <nodes> nodes whose store gives <what> to those that read it for 4 s
    When the store is restored from a copy 0.5 s later
    Then all nodes know of it within 2 s in 4 plays from seed 0

    Examples:
      | nodes | what     |
      | 9     | silence  |
      | 18    | silence  |
      | 18    | resets   |
      | 18    | refusals |

  Scenario Outline: A key is revoked while the nodes that read the store get no answer
    # Guards against a revoked key that still opens, and against nodes that refuse valid keys since
    # nobody proves to them that their settings are the newest.
    Given a fleet of <nodes> nodes whose store gives <what> to those that read it for 4 s
    When a key is revoked 0.5 s later
    Then all nodes know of it within 5 s in 4 plays from seed 0
    And no node has refused valid keys

    Examples:
      | nodes | what     |
      | 9     | silence  |
      | 18    | silence  |
      | 18    | resets   |
      | 18    | refusals |

  Scenario Outline: A fleet at rest calls the store once a second more at most
    # Guards against checks of each node, or of several at a time: every call is priced.
    Given a fleet of <nodes> nodes at rest
    Then it makes at most 1 call a second more with checks of the store than without

    Examples:
      | nodes |
      | 9     |
      | 195   |

  Scenario: Nodes that check at the same moment agree on who goes on
    # Both would go on and the store would get twice the calls, or both would wait for the other.
    Given schedules of checks of nodes a, b, c
    When a and b check at the same moment, and all hear of both
    Then b is the next to check at a, b, c

  Scenario: A check that was heard of before does not count again
    # A bulletin that is repeated or replayed would pass for a check, and nobody would read the store.
    Given schedules of checks of nodes a, b
    When a checks, and b hears of it at once and 3 s later
    Then b has heard of no check for 3 s

  Scenario: A failed check does not put off the next one where another node was answered
    # In a large fleet the pause after a failure is long, as the store may be down for all.
    Given a fleet of 195 nodes, and schedules of checks of nodes a, b
    When b asks the store, hears of a check of a and gets no answer
    Then b is to check within 12 s

  Scenario Outline: A malformed bulletin of a check is refused
    # Guards against a bulletin that passes for a check of any age and any number.
    Given a check bulletin of the fields <fields>
    Then that check bulletin is rejected as malformed

    Examples:
      | fields                                     |
      | [["checked", 1]]                           |
      | [["checked", -1, 0]]                       |
      | [["checked", 1, -1]]                       |
      | [["checked", 1, 60001]]                    |
      | [["checked", true, 0]]                     |
      | [["checked", 1, 0.5]]                      |
      | [["checked", "1", 0]]                      |
      | [["checked", 4611686018427387904, 0]]      |
      | [["check", 1, 0]]                          |
      | []                                         |
