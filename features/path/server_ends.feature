Feature: What a backend server was running when it ended is known

  Scenario Outline: A lost connection is put down to the end of a server only where that is known
    # When a server crashes, the requests in flight are suspects. Connection resets, timeouts of
    # callers and planned stops also end requests without a response, but must not make them
    # suspects. Events are a tenth of a second apart.
    Given a backend server that runs a and b
    When these events follow: <events>
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
    # Servers crash one after another and callers get errors. One log line for each crash lists all
    # requests in flight, so that operators can find the request that the crashes have in common.
    Given a fleet on the platform: mapdesk
    And requests for "/tiles/deadly" crash the server of node 1
    When a client requests "/tiles/deadly" from node 1 while 2 other requests are in progress
    Then the log lists 3 suspects, with the fingerprint and the path of "/tiles/deadly"
    And the metrics of node 1 hold
      | line                                     |
      | marjoramtide_serving_server_ends_total 1 |

  Scenario: A server that is ending takes one connection more
    # The kernel closes the sockets of a crashed process one after another. A node that has just lost
    # a lookup may still connect in between and consider the server alive. The lookup would then be
    # retried on the next server before any node knows of the crash.
    Given a server that crashes right after it has accepted one more connection
    When a node that has lost a lookup probes the server
    Then it detects that the server refuses connections

  Scenario Outline: A look that a stop of the node itself has made late tells nothing of its server
    # A node's process is suspended for seconds. The response to its health check arrives meanwhile,
    # but the check times out when the process resumes, and requests in flight look older by the
    # length of the suspension. The server must not be considered crashed.
    Given a fleet on the platform: mapdesk
    And the server of node 1 has been silent during a lookup for 3 s
    When a health check of it fails, <when>
    Then <count> requests are suspected at node 1

    Examples:
      | when                                 | count |
      | while the node ran                   | 1     |
      | as the node has been stopped just now | 0     |

  Scenario Outline: The same request has the same fingerprint at every node, and others have others
    Given a GET of "/tiles/7" with the body "x" by the caller "ann"
    When it is repeated with <change>
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
