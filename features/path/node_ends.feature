Feature: Whether a node has ended is found out when a connection to it breaks

  Scenario Outline: What ran at a node is put down to its end, where that is sure
    # A kept connection whose break has not been read yet passed for a node that lives, and so did a
    # process that takes connections while it ends: its request went on to the next node.
    Given a node that another one keeps connections to
    When <what>, and a request that it ran is lost
    Then it is put down <to whom>

    Examples:
      | what                                                      | to whom       |
      | its process ends                                          | to that node  |
      | its process ends, and takes connections for 0.2 s         | to that node  |
      | it resets a connection                                    | to nobody     |
      | its process stands still                                  | to nobody     |
      | it is known to leave, and its process ends                | to nobody     |
