Feature: What a node runs for its own callers is known to another node

  Scenario Outline: The witness speaks for a node that has ended, and for no other
    # A request ends the node that took it and runs it: nobody else knew of it, and it ended all.
    Given a node that tells a witness what it runs
    When it begins a, b and c, c is over, and <what>
    Then the witness puts down <runs>

    Examples:
      | what                                               | runs |
      | its process ends                                   | a, b |
      | its process ends, and takes connections for 0.2 s  | a, b |
      | its connection is closed as agreed                 | none |
      | its connection is reset                            | none |
      | nobody answers or refuses at its address           | none |
      | it is known to leave, and its process ends         | none |

  Scenario: A witness that ends as well is followed by another one
    # Two nodes end in turn, the witness first: what the other one runs must not be unknown.
    Given a node that tells a witness what it runs, where another node could be it as well
    When it begins a, b and c, c is over, and its witness ends
    Then the other node is told of a and b within 2 s

  Scenario: The witness is in the own data centre
    # Bytes between data centres are dear, and a hop there takes longer.
    Given a node that tells a witness what it runs, where nodes elsewhere could be it as well
    Then the witness is in its data centre

  Scenario: A node that finds no witness runs requests all the same
    Given a node that knows of no other
    When it begins a
    Then that took no time

  Scenario: A witness that takes nothing off its connection holds up no request
    # A witness is stopped: without a bound each request would wait until its connection is given up.
    Given a node whose witness takes nothing off its connection any more
    When it begins 20000 runs
    Then none of them waited

  Scenario: A planned stop does not wait for a witness that takes nothing
    # The witness is stopped. The end of its connection took the second for which an answer to a close
    # is waited for, of the time that a planned stop has.
    Given a node whose witness takes nothing off its connection any more
    When it stops as planned
    Then that took less than 0.6 s

  Scenario: Only what nobody else knows, and nothing vouches for, is told
    # What another node has sent here is known to that one. What the server has completed is sound.
    Given a fleet on the platform: mapdesk, mapdesk
    And all requests are served by node 1
    When a client asks node 1 for "/tiles/7"
    And a client asks node 1 for "/tiles/7"
    And a client asks node 2 for "/tiles/8"
    Then node 1 has told its witness of 1 run
    And no run is open at the witness of node 1
