Feature: Unauthenticated and malformed frames reach no backend server

  Scenario: A peer port rejects unauthenticated clients and malformed frames
    # A process that is not a node, or a faulty node, connects to the peer port. The connection is
    # closed, the node writes one log line with the error code, and no backend server gets a
    # request. Requests of callers that pass through the same node meanwhile are not affected.
    Given a mesh of 2 mapdesk nodes
    And traffic: 40 lookups a second of mapdesk for 12 s
    When the peer port of mapdesk-1 is attacked amid the traffic
      | attack                          | event           | code      |
      | bytes that are no HTTP          | peers.refused   | bad-frame |
      | plain HTTP                      | peers.refused   | bad-frame |
      | no handshake                    | peers.refused   | bad-key   |
      | a handshake of text             | peers.refused   | bad-frame |
      | a handshake of garbage          | peers.refused   | bad-frame |
      | a nonce that is text            | peers.refused   | bad-frame |
      | a nonce that is empty           | peers.refused   | bad-frame |
      | an unknown lane                 | peers.refused   | bad-frame |
      | a lane that is no text          | peers.refused   | bad-frame |
      | a handshake of 100 KB           | peers.refused   | bad-key   |
      | another key                     | peers.refused   | bad-key   |
      | a replayed handshake            | peers.refused   | bad-key   |
      | garbage after the handshake     | peers.bad_frame | bad-frame |
      | deep nesting                    | peers.bad_frame | bad-frame |
      | a huge array's head             | peers.bad_frame | bad-frame |
      | an unknown message              | peers.bad_frame | bad-frame |
      | a negative message number       | peers.bad_frame | bad-frame |
      | too few fields                  | peers.bad_frame | bad-frame |
      | a frame of 3 MB                 | peers.bad_frame | bad-frame |
      | a target that leads elsewhere   | peers.bad_frame | bad-frame |
      | a target with a line break      | peers.bad_frame | bad-frame |
      | a deadline that is no number    | peers.bad_frame | bad-frame |
      | headers that are none           | peers.bad_frame | bad-frame |
      | a header with a line break      | peers.bad_frame | bad-frame |
      | a method with a space           | peers.bad_frame | bad-frame |
      | a chunk nobody asked for        | peers.bad_frame | bad-frame |
      | an answer to nothing asked      | peers.bad_frame | bad-frame |
      | an empty chunk                  | peers.bad_frame | bad-frame |
      | a credit of a gigabyte          | peers.bad_frame | bad-frame |
      | a negative credit               | peers.bad_frame | bad-frame |
      | a request number used twice     | peers.bad_frame | bad-frame |
      | runs that are none              | peers.bad_frame | bad-frame |
      | a run without a fingerprint     | peers.bad_frame | bad-frame |
      | a ticket that is no number      | peers.bad_frame | bad-frame |
      | a request among runs            | peers.bad_frame | bad-frame |
    Then all lookups completed

  Scenario: Frames for requests that are not there are dropped
    # A chunk, a credit and a cancel arrive for requests that have ended, as they may after any
    # cancel. They match no request, and the next request on the same connection is served.
    Given a mesh of 1 mapdesk nodes
    Then stray frames to mapdesk-1 do not affect the next request on their connection

  Scenario: A gossip port takes no foreign datagrams
    # Hundreds of garbage datagrams, and ones of another fleet with another key, reach the gossip
    # port. The node drops them, logs a line per error code rather than per datagram, and continues
    # to serve.
    Given a mesh of 2 mapdesk nodes
    When 400 foreign datagrams reach the gossip port of mapdesk-1
    Then mapdesk-1 has written at most 5 lines of datagram-dropped, each with a code
    And a lookup of mapdesk by mapdesk-2 is answered
