Feature: Late answers are told apart
  A faulty server of the platform may answer a request twice; the second answer arrives when that to
  the next request is expected, and the id that it names tells which request it belongs to.

  Scenario Outline: A late second rejection is not the answer to the booking that is sent again
    # Guards against "not run" for a booking that ran, and against a third send that runs it again.
    Given a fleet on the platform: mapdesk, licencehub
    And a route "/pay/" to mapdesk for bookings with <attempts> attempts
    And 20 bookings were made at "/pay/7" through node <node>, so that a second attempt is allowed
    And the server of node 1 rejects the next booking, and sends the rejection again, late
    When a client books <bytes> bytes at "/pay/7" through node <node>
    Then the client gets 200 with the seal and the whole body of its own request
    And it ran once

    Examples:
      | attempts | bytes | node |
      | 2        | 7     | 1    |
      | 3        | 7     | 1    |
      | 2        | 7     | 2    |
      | 3        | 7     | 2    |
      | 3        | 30000 | 1    |
      | 3        | 30000 | 2    |

  Scenario Outline: Two requests with one id go on two connections
    # Guards against an id that can't tell the answer of an earlier exchange from that of a later one.
    Given a server of the platform to which <limit> connections may be open
    When two requests with the id "a" are sent, and the first one's <kind> comes again, late
    Then the second one gets its own answer
    And the server got 2 connections, at most <limit> at once

    Examples:
      | limit | kind      |
      | 10    | rejection |
      | 10    | answer    |
      | 1     | rejection |
      | 1     | answer    |

  Scenario Outline: An answer that names no request is taken only where no other request can have caused it
    # Guards against taking a late second answer that names no request for that to a booking.
    Given a server of the platform to which 10 connections may be open
    When <before> requests are sent to it, and one whose <kind> names no request
    Then it ends with <result>

    Examples:
      | before | kind      | result              |
      | 0      | answer    | its own answer      |
      | 0      | rejection | its rejection       |
      | 1      | answer    | an unknown outcome  |
      | 1      | rejection | an unknown outcome  |

  Scenario: A late second health answer does not reach a caller
    # Guards against a booking that runs and gets the 503 of a health check of a server that leaves.
    Given a server of the platform to which 10 connections may be open
    When its health is read while it leaves, that answer comes again, late, and a request is sent
    Then the second one gets its own answer
    And the server got 2 connections, at most 2 at once

  Scenario: A connection is closed after as many requests as it may carry
    # Guards against ids of earlier requests that take more and more memory.
    Given a server of the platform to which 10 connections may be open
    When 257 requests with different ids are sent to it, one after the other
    Then the server got 2 connections, at most 1 at once
