Feature: A witness knows the requests in flight at a node

  Scenario Outline: The witness reports the requests of a node that has crashed, and of no other
    # A request crashes the node that took it from its caller and runs it. Without a witness no
    # other node would know of it, and callers' retries would crash all nodes.
    Given a node with a witness
    When it starts a, b and c, finishes c, and <what>
    Then the witness reports <runs> as lost

    Examples:
      | what                                               | runs |
      | its process ends                                   | a, b |
      | its process ends, and takes connections for 0.2 s  | a, b |
      | its connection is closed as agreed                 | none |
      | its connection is reset                            | none |
      | nobody answers or refuses at its address           | none |
      | it is known to leave, and its process ends         | none |

  Scenario: A crashed witness is replaced by another one
    # Two nodes crash in turn, the witness first: the requests of the other one must still be known.
    Given a node with a witness and another candidate
    When it starts a, b and c, finishes c, and its witness ends
    Then the other node gets the report of a and b within 2 s

  Scenario: The witness is in the own data centre
    # Traffic between data centres is expensive, and a round trip takes longer.
    Given a node with candidates for a witness in several data centres
    Then the witness is in its data centre

  Scenario: A node that finds no witness runs requests all the same
    Given a node that knows no other nodes
    When it starts a
    Then that took no time

  Scenario: A witness that takes nothing off its connection holds up no request
    # The witness is frozen. Without a limit, each request would wait until the connection times
    # out.
    Given a node whose witness has stopped reading
    When it starts 20000 requests
    Then none of them waited

  Scenario: A planned stop does not wait for a witness that takes nothing
    # The witness is frozen. Closing its connection used to wait a second for the closing handshake,
    # which is taken from the time that a planned stop has.
    Given a node whose witness has stopped reading
    When it stops as planned
    Then that took less than 0.6 s

  Scenario: Only requests that no other node knows and that are not known to be safe are reported
    # Requests sent by another node are known to that node. Requests that the server has completed
    # before are known to be safe.
    Given a fleet on the platform: mapdesk, mapdesk
    And all requests are served by node 1
    When a client asks node 1 for "/tiles/7"
    And a client asks node 1 for "/tiles/7"
    And a client asks node 2 for "/tiles/8"
    Then node 1 has reported 1 request to its witness
    And no request is in flight at the witness of node 1
