Feature: Which data centres are evacuated follows from the newest word of the store

  Scenario Outline: News in any order leaves the newest in force
    # Snapshots arrive out of order: an old one must neither restore an evacuation nor end it.
    Given a node that has received <events>
    Then <names> is evacuated there

    Examples:
      | events                       | names   |
      | nothing                      | nothing |
      | a at 5                       | a       |
      | a at 5, none at 7            | nothing |
      | none at 7, a at 5            | nothing |
      | a at 5, none at 7, a at 9    | a       |
      | a at 5, a at 9, none at 7    | a       |
      | a and b at 5, b at 6         | b       |
      | a at 5 of epoch 1, none at 9 | a       |
      | none at 9, a at 5 of epoch 1 | a       |

  Scenario Outline: A store that comes back from a copy does not end an evacuation
    # The backup is older than the operator's entry, which was acknowledged. Nothing more may be sent
    # there, and the entry is written again a moment later, unless it has been revoked since.
    Given a node that has received <events>
    Then <names> is evacuated there

    Examples:
      | events                                                                | names   |
      | a at 5, none at 3 of epoch 1                                          | a       |
      | a at 5, none at 3 of epoch 1, 19 s pass                               | a       |
      | a at 5, none at 3 of epoch 1, 21 s pass                               | nothing |
      | a at 5, none at 3 of epoch 1, a at 4 of epoch 1                       | a       |
      | a at 5, none at 3 of epoch 1, a at 4 of epoch 1, 21 s pass            | a       |
      | a at 5, none at 3 of epoch 1, a at 4 of epoch 1, none at 6 of epoch 1 | nothing |
      | a at 5, none at 7, a at 3 of epoch 1                                  | a       |
      | a at 5, none at 7, a at 3 of epoch 1, none at 4 of epoch 1            | nothing |
      | a at 5, none at 3 of epoch 1, none at 3 of epoch 2                    | a       |

  Scenario: A node that missed the operator's second order and its end brings nothing back
    # The others know that the evacuation was written again and revoked; one node has lost these
    # updates, still holds the evacuation and reports it.
    Given a node that has received a at 5, none at 3 of epoch 1, a at 4 of epoch 1, none at 6 of epoch 1
    When it receives the state of a node that has received a at 5, none at 3 of epoch 1, none at 6 of epoch 1
    Then nothing is evacuated there

  Scenario: A node that starts after the store came back holds to what the others hold to
    Given a node that has received a at 5, none at 3 of epoch 1, 15 s pass
    When another node receives its state
    Then a is evacuated at the other node for another 5 s

  Scenario Outline: All nodes know of an evacuation within a second, also where datagrams are lost
    # Nodes without the update keep sending to servers after the operator was told that they get none.
    When a fleet of <size> nodes, with 3 in 100 datagrams lost, is told of one by <watchers> of its watchers
    Then all of it knows within 1 s, with each of 5 seeds

    Examples:
      | size | watchers |
      | 12   | 6        |
      | 76   | 6        |
      | 76   | 1        |
      | 195  | 6        |
      | 195  | 1        |

  Scenario Outline: Malformed news is rejected
    Given store news <news>
    Then that news is rejected as malformed

    Examples:
      | news                                   |
      | []                                     |
      | [["store"]]                            |
      | [["store", 0, 5, "a", []]]             |
      | [["store", 0, 5, [7], []]]             |
      | [["store", -1, 5, ["a"], []]]          |
      | [["store", 0, 1e9, ["a"], []]]         |
      | [["store", 0, 5, [""], []]]            |
      | [["store", 0, 5, ["a"], [["a", -1]]]]  |
      | [["store", 0, 5, ["a"], [["a", 1e9]]]] |
      | [["store", 0, 5, ["a"], [["a"]]]]      |
      | [["store", true, 5, ["a"], []]]        |
