Feature: Bytes that are no answer and do not end
  A backend server in trouble may send bytes without end, in a head, in a body or after an answer,
  until the node closes the connection.

  Scenario Outline: Bytes without end in place of an answer, or in its head
    # Guards against a node that reads, and keeps, what never becomes an answer.
    Given a backend server that sends <begin>, and then <rest> without end
    When a booking is sent to it
    Then its outcome is unknown, and it has closed within 0.5 s
    And the node has read at most 400000 bytes, and kept at most 1000000

    Examples:
      | begin                          | rest                               |
      | "{0}"                          | \x00\x01\xff                       |
      | "{0}"                          | \r\n                               |
      | "{0}"                          | HTTP/1.1 100 Continue\r\n\r\n      |
      | "HTTP/1.1 200 "                | O                                  |
      | "HTTP/1.1 200 OK\r\n"          | A: b\r\n                           |
      | "HTTP/1.1 200 OK\r\n"          | A                                  |
      | "HTTP/1.1 200 OK\r\nA: "       | a                                  |

  Scenario Outline: Bytes without end between the parts of a body
    # Guards against framing that yields no body and is parsed, or kept, until the deadline.
    Given a backend server that sends <begin>, and then <rest> without end
    When a booking is sent to it
    Then its outcome is unknown, and it has closed within 0.5 s
    And the node has read at most 400000 bytes, and kept at most 1000000

    Examples:
      | begin                                                                        | rest         |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"                      | 0            |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;"                    | a            |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5;"      | a            |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA:" | a            |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"   | A: b\r\n     |
      | "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"                 | A: b\r\n     |

  Scenario Outline: A body without end that nobody reads
    # Guards against a body that is kept in memory, or read on while its caller does not read.
    Given a backend server that sends <begin>, and then <rest> without end
    When a booking is sent to it, and the body of its answer is left unread for 0.5 s
    Then the node has read at most <read> bytes, and kept at most 1500000
    And it has closed within 0.2 s of the end of the exchange

    Examples:
      | begin                                                    | rest           | read    |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"  | 5\r\nhello\r\n | 1000000 |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"  | 1;a=b\r\nx\r\n | 2000000 |
      | "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n" | hello          | 700000  |
      | "HTTP/1.1 200 OK\r\n\r\n"                                | hello          | 700000  |

  Scenario Outline: Bytes without end after a whole answer that its caller still reads
    # Guards against parsing bytes of no request for as long as a slow caller takes.
    Given a backend server that sends two parts, <begin> and 0.1 s later <more>, and goes on with <rest>
    When a booking is sent to it, and the body of its answer is left unread for 0.5 s
    Then the node has read at most 700000 bytes, and kept at most 1500000
    And the body of its answer has 80000 bytes, and ends

    Examples:
      | begin                                                            | more                       | rest                                              |
      | "HTTP/1.1 200 OK\r\nContent-Length: 80000\r\n\r\n{70000}"        | "{10000}"                  | \x00\x01\xff                                      |
      | "HTTP/1.1 200 OK\r\nContent-Length: 80000\r\n\r\n{70000}"        | "{10000}"                  | \r\n                                              |
      | "HTTP/1.1 200 OK\r\nContent-Length: 80000\r\n\r\n{70000}"        | "{10000}"                  | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n13880\r\n{70000}" | "{10000}\r\n0\r\n\r\n" | \r\n                                              |

  Scenario Outline: Bytes without end in a health answer
    # Guards against a check of the server's health that costs more than an answer to it.
    Given a backend server that sends <begin>, and then <rest> without end
    When its health is read for at most 0.3 s
    Then it has closed within 0.5 s
    And the node has read at most 700000 bytes, and kept at most 1500000

    Examples:
      | begin                                                           | rest                          |
      | "{0}"                                                           | HTTP/1.1 100 Continue\r\n\r\n |
      | "HTTP/1.1 200 OK\r\nA: "                                        | a                             |
      | "HTTP/1.1 200 OK\r\n\r\n"                                       | hello                         |
      | "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " | a                             |
      | "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"                  | \r\n                          |

  Scenario: Bytes without end on a connection that waits for its next request
    # Guards against reading what nobody has asked for.
    Given a backend server that sends two parts, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" and 0.1 s later "{0}", and goes on with \x00
    When a booking is sent to it, and its connection waits for 0.3 s
    Then it has closed within 0.5 s
    And the node has read at most 400000 bytes, and kept at most 1000000
