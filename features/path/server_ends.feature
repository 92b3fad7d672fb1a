Feature: What a backend server was running when it ended is known

  Scenario Outline: A lost connection is put down to the end of a server only where that is known
    # A server ends while it runs several requests, and an operator asks which of them it was. A
    # reset, a caller's impatience and a planned stop lose connections as well; a request that is
    # suspected for one of these is innocent. Events are a tenth of a second apart.
    Given a backend server that runs a and b
    When there comes <events>
    Then the suspects are <suspects>

    Examples: the server is gone
      | events                                             | suspects |
      | lost a, lost b, refused                            | a, b     |
      | lost a, refused, lost b                            | a, b     |
      | lost a, answered b, refused                        | a        |
      | given up a, lost b, refused                        | a, b     |
      | lost a, refused, replaced                          | a, b     |
      | silent, replaced                                   | a, b     |
      | given up a, silent, silent, silent, replaced       | a, b     |
      | lost a, lost b, refused, alive, c, lost c, refused | a, b, c  |

    Examples: the server is silent
      | events                                | suspects |
      | later, unread                         | a, b     |
      | alive, later, unread                  | a, b     |
      | given up a, later, unread             | a, b     |
      | later, unread, replaced               | a, b     |
      | unread                                | none     |
      | later, alive, unread                  | none     |
      | later, answered a, unread             | none     |
      | answered a, answered b, later, unread | none     |
      | later, leaves, unread                 | none     |
      | unread, later, still                  | a, b     |
      | unread, alive, later, still           | none     |
      | later, still                          | none     |

    Examples: the server lives, or goes as it should
      | events                                    | suspects |
      | lost a, alive, refused                    | none     |
      | lost a, c, answered c, refused            | none     |
      | given up a, later, alive, refused         | none     |
      | answered a, answered b, refused           | none     |
      | refused                                   | none     |
      | refused, answered a, answered b           | none     |
      | leaves, lost a, lost b, refused, replaced | none     |

  Scenario: The log names what a server was running when it ended
    # Servers end one after another, and callers get failures. Which request all of them had in
    # progress can be read from one line for each end, whatever else was lost with it.
    Given a fleet on the platform: mapdesk
    And requests for "/tiles/deadly" end the server of node 1
    When a client asks node 1 for "/tiles/deadly" while 2 others are under way
    Then the log names 3 suspects, with the fingerprint and the path of "/tiles/deadly"
    And the metrics of node 1 hold
      | line                                     |
      | marjoramtide_serving_server_ends_total 1 |

  Scenario: A server that is ending takes one connection more
    # The host closes the sockets of a process that has ended one after another. A node that has just
    # lost a lookup with it connects in between, takes the server for alive, and the lookup is sent to
    # the next one before any node knows of the end.
    Given a server that ends as soon as it has taken one connection more
    When a node that has lost a lookup looks whether it has ended
    Then it knows that nobody listens

  Scenario Outline: A look that a stop of the node itself has made late tells nothing of its server
    # A node's process is stopped for seconds. Its look at the server was answered meanwhile, and is
    # given up all the same when the process goes on; what it runs looks as old as the stop was long.
    Given a fleet on the platform: mapdesk
    And the server of node 1 has run a lookup for 3 s without a word
    When a look at it goes unanswered, <when>
    Then <count> requests are suspected at node 1

    Examples:
      | when                                 | count |
      | while the node ran                   | 1     |
      | as the node has been stopped just now | 0     |

  Scenario Outline: The same request has the same fingerprint at every node, and others have others
    Given a GET of "/tiles/7" with the body "x" by the caller "ann"
    When it comes again with <change>
    Then its fingerprint is <verdict>

    Examples:
      | change                  | verdict  |
      | another id and deadline | the same |
      | another trace           | the same |
      | the body "y"            | another  |
      | the path "/tiles/8"     | another  |
      | the path "/tiles/7?a=1" | another  |
      | the method "POST"       | another  |
      | the caller "ben"        | another  |
      | another fleet's key     | another  |
      | a long body as a stream | another  |
