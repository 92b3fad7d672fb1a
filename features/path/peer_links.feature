Feature: Connections between nodes, and bodies sent over them

  Scenario: A node asks one peer after another
    # About once a second each node asks a random peer whether its settings are in force. If these
    # connections were kept, a node of 790 would have one to nearly every other node after an hour,
    # from both ends. Their pings would take 8% of a core and raise the tail latency of callers.
    Given a node that listens for peers and answers questions after 0 s
    When a peer asks it 3 times, each time after the connection was closed
    Then all 3 replies arrived and neither node has a connection open

  Scenario: The answer takes longer than an unused connection lasts
    # A busy node replies late. If the connection were closed meanwhile, questions about the
    # settings of a slow node would never succeed.
    Given a node that listens for peers and answers questions after 2.5 s
    When a peer asks it a question with a quick reply and one with a slow reply
    Then both replies arrived over one connection

  Scenario: Bodies of requests that are refused don't cross to another node
    # An overloaded service gets more uploads than it can serve, and each is rejected by one node
    # after another. If their bodies were sent along, they would fill the links beside these
    # servers, and delay responses, calls and settings.
    Given a node that rejects every request
    When 20 uploads of 60000 bytes are sent to it
    Then all of them were rejected as not run
    And it was sent 0 bytes of their bodies

  Scenario Outline: The body of a request that is admitted arrives whole
    Given a node that echoes request bodies
    When 5 uploads of <size> bytes are sent to it
    Then each of them got its own body back

    Examples:
      | size  |
      | 0     |
      | 4096  |
      | 4097  |
      | 65536 |
