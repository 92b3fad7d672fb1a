Feature: Connections between nodes that nothing needs are not kept

  Scenario: A node asks one peer after another
    # Each node asks some peer, chosen at random, every second or so whether its settings are in
    # force. With kept connections a node of 790 would hold one to nearly each other after an hour,
    # from both ends, and spend 8% of a core on their pings; callers would see the tail of it.
    Given a node that listens for peers and answers questions after 0 s
    When a peer asks it 3 times, each time after the connection has ended
    Then all 3 answers came and neither node holds a connection

  Scenario: The answer takes longer than an unused connection lasts
    # A node that is busy answers late. Were the connection ended meanwhile, the settings of a slow
    # node would never be asked for with success.
    Given a node that listens for peers and answers questions after 2.5 s
    When a peer asks it once quickly answered and once not
    Then both answers came over one connection

  Scenario: Bodies of requests that are refused don't cross to another node
    # A scarce service is sent more uploads than it can do. Each is refused by one node after the
    # other; were its body sent along, the links beside these servers would be full, and answers,
    # calls and settings would wait behind bodies that nobody reads.
    Given a node that refuses every request
    When 20 uploads of 60000 bytes are sent to it
    Then all of them were refused as not run
    And it was sent 0 bytes of their bodies

  Scenario Outline: The body of a request that is admitted arrives whole
    Given a node that answers with what it was sent
    When 5 uploads of <size> bytes are sent to it
    Then each of them was answered with its own body

    Examples:
      | size  |
      | 0     |
      | 4096  |
      | 4097  |
      | 65536 |
