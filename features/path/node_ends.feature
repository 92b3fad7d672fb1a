Feature: Whether a node has ended is found out when a connection to it breaks

  Scenario Outline: What ran at a node is put down to its end, where that is sure
    # An open connection whose end had not been read yet was taken as a sign that the node is alive,
    # and so was a process that accepts connections while it exits: its request was sent to the next
    # node.
    Given a node that another one has open connections to
    When <what>, and a request that it ran is lost
    Then it is attributed <to whom>

    Examples:
      | what                                                 | to whom      |
      | its process exits                                    | to that node |
      | its process exits, and accepts connections for 0.2 s | to that node |
      | it resets a connection                               | to nobody    |
      | its process is frozen                                | to nobody    |
      | it is known to leave, and its process exits          | to nobody    |
