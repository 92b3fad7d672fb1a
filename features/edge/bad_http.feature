Feature: A caller's bad input is refused, told in the log, and felt by nobody else

  Scenario: Each malformed request gets one clear refusal
    # A caller sends invalid HTTP, or requests that two hops could parse differently. It gets one 4xx
    # (or a 508) marked "not-run", or a closed connection, and the node logs one line with the code.
    # No backend server receives any of it. The lookups of another caller, sent to the same node
    # meanwhile, all complete.
    Given a mesh of 1 mapdesk nodes
    And traffic: 40 lookups a second of mapdesk for 12 s
    When raw requests are sent to mapdesk-1 amid the traffic
      | raw                                                                                          | status | code            |
      | \x00\x01\xfegarbage\r\n\r\n                                                                   | 400    | bad-request     |
      | \x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03<60>\r\n                                          | 400    | bad-request     |
      | PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n                                                              | 400    | bad-request     |
      | GET /\r\n\r\n                                                                                 | 400    | bad-request     |
      | GET / HTTP/0.9\r\nHost: mapdesk\r\n\r\n                                                       | 400    | bad-request     |
      | GET / HTTP/9.9\r\nHost: mapdesk\r\n\r\n                                                       | 400    | bad-request     |
      | get / HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                                       | 400    | bad-request     |
      | BREW / HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                                      | 400    | bad-request     |
      | TRACE / HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                                     | 400    | bad-request     |
      | GET / HTTP/1.1\nHost: mapdesk\n\n                                                             | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\nX: y\r\n\r\n                                                 | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nX: a\rY: b\r\n\r\n                                         | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost : mapdesk\r\n\r\n                                                      | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nX: a\r\n folded\r\n\r\n                                    | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nX: a\x00b\r\n\r\n                                          | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\n: a\r\n\r\n                                                | 400    | bad-request     |
      | GET /<9000> HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                                 | 431    | head-too-large  |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nX: <9000>\r\n\r\n                                          | 431    | head-too-large  |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nA: <8000>\r\nB: <8000>\r\nC: <8000>\r\nD: <8000>\r\nE: <8000>\r\n\r\n | 431 | head-too-large |
      | GET / HTTP/1.1\r\n\r\n                                                                        | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost:\r\n\r\n                                                               | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nHost: mapdesk\r\n\r\n                                      | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nHost: other\r\n\r\n                                        | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: nobody\r\n\r\n                                                        | 404    | unknown-service |
      | GET / HTTP/1.1\r\nHost: map desk\r\n\r\n                                                      | 404    | unknown-service |
      | GET http://mapdesk/ HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                         | 400    | bad-request     |
      | CONNECT mapdesk:80 HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                          | 400    | bad-request     |
      | OPTIONS * HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                                   | 400    | bad-request     |
      | GET /a#b HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                                    | 400    | bad-request     |
      | GET /a\x01b HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                                 | 400    | bad-request     |
      | GET /\xff HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                                   | 400    | bad-request     |
      | GET /a b HTTP/1.1\r\nHost: mapdesk\r\n\r\n                                                    | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nRequest-Timeout-Ms: soon\r\n\r\n                           | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nRequest-Timeout-Ms: -1\r\n\r\n                             | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nRequest-Timeout-Ms: 0\r\n\r\n                              | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nRequest-Timeout-Ms: nan\r\n\r\n                            | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nRequest-Timeout-Ms: 1_000\r\n\r\n                          | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nRequest-Timeout-Ms: 1e3\r\n\r\n                            | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nRequest-Timeout-Ms:\r\n\r\n                                | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nRequest-Timeout-Ms: 5\r\nRequest-Timeout-Ms: 500\r\n\r\n   | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nPriority: u=9\r\n\r\n                                      | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nPriority: u=high\r\n\r\n                                   | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nMarjoramtide-Depth: -1\r\n\r\n                             | 400    | bad-request     |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nMarjoramtide-Depth: 20\r\n\r\n                             | 508    | depth-exceeded  |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nMarjoramtide-Depth: 99999\r\n\r\n                          | 508    | depth-exceeded  |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nIdempotency-Key:\r\nContent-Length: 0\r\n\r\n             | 400    | bad-request     |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nIdempotency-Key: <256>\r\nContent-Length: 0\r\n\r\n       | 400    | bad-request     |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nIdempotency-Key: \xff\r\nContent-Length: 0\r\n\r\n        | 400    | bad-request     |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n | 400 | bad-request |
      | GET / HTTP/1.1\r\nHost: mapdesk\r\nX-Name: \xe9\r\n\r\n                                         | 400    | bad-request     |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nContent-Length: 9000000\r\n\r\nhello                      | 413    | body-too-large  |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nContent-Length: 99999999999999999999999\r\n\r\nhello      | 400    | bad-request     |
    Then all lookups completed
    And every promise is kept
    And no backend server saw more than the traffic

  Scenario: A request hidden in another one is never taken for a request
    # Request smuggling: the end of a body is declared twice, or in a way that hops parse
    # differently, and is followed by a request that could be taken for another caller's. The node
    # refuses the first request and closes the connection, so that the hidden one is neither
    # answered nor forwarded.
    Given a mesh of 1 mapdesk nodes
    And traffic: 40 lookups a second of mapdesk for 5 s
    When raw requests are sent to mapdesk-1 amid the traffic
      | raw                                                                                                                          | status | code           |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /h HTTP/1.1\r\nHost: mapdesk\r\n\r\n | 400 | bad-request |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\nGET /h HTTP/1.1\r\nHost: mapdesk\r\n\r\n | 400 | bad-request |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nContent-Length: 0\r\nContent-Length: 40\r\n\r\nGET /h HTTP/1.1\r\nHost: mapdesk\r\n\r\n  | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nContent-Length: 0, 40\r\n\r\nGET /h HTTP/1.1\r\nHost: mapdesk\r\n\r\n                    | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nContent-Length: +5\r\n\r\nhello                                                          | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nContent-Length: 0x5\r\n\r\nhello                                                         | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\nGET /h HTTP/1.1\r\nHost: mapdesk\r\n\r\n      | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n                                     | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n                                         | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n                | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n                         | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n                                           | 400    | bad-request    |
      | POST / HTTP/1.0\r\nHost: mapdesk\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /h HTTP/1.1\r\nHost: mapdesk\r\n\r\n       | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello\n0\n\n                                         | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: chunked\r\n\r\n5;a\nb\r\nhello\r\n0\r\n\r\n                            | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n                                | 400    | bad-request    |
      | POST / HTTP/1.1\r\nHost: mapdesk\r\nContent-Length: 9000000\r\n\r\nGET /h HTTP/1.1\r\nHost: mapdesk\r\n\r\n                   | 413    | body-too-large |
      | POST / HTTP/1.1\r\nHost: nobody\r\nContent-Length: 400\r\n\r\nGET /h HTTP/1.1\r\nHost: mapdesk\r\n\r\n                        | 404    | unknown-service |
    Then all lookups completed
    And every promise is kept
    And no backend server saw more than the traffic

  Scenario: A body that goes wrong is refused at once and never passed on as whole
    # The bodies begin correctly. One has an invalid chunk, one exceeds the limit without a declared
    # length, one trickles in, and of two the caller closes the connection half-way. The backend
    # servers, here and behind a second node, see a broken connection or nothing, never the end of a
    # body. Only the one that trickles in waits for its deadline.
    Given a mixed mesh of 1 mapdesk and 1 licencehub nodes
      """
      [services.mapdesk]
      max_body_bytes = 300000
      [services.licencehub]
      max_body_bytes = 300000
      """
    And every backend server only records
    When bodies go wrong at mapdesk-1
      | service    | head                                         | body                            | then  | status | code           |
      | mapdesk    | Transfer-Encoding: chunked                   | 5\r\nhello\r\nzz\r\n            | stay  | 400    | bad-request    |
      | mapdesk    | Transfer-Encoding: chunked                   | 13880\r\n<80000>\r\nzz\r\n      | stay  | 400    | bad-request    |
      | licencehub | Transfer-Encoding: chunked                   | 13880\r\n<80000>\r\nzz\r\n      | stay  | 400    | bad-request    |
      | mapdesk    | Transfer-Encoding: chunked                   | 493e1\r\n<300001>\r\n0\r\n\r\n  | stay  | 413    | body-too-large |
      | licencehub | Transfer-Encoding: chunked                   | 493e1\r\n<300001>\r\n0\r\n\r\n  | stay  | 413    | body-too-large |
      | mapdesk    | Content-Length: 100\r\nRequest-Timeout-Ms: 600 | <50>                            | stay  | 408    | slow-caller    |
      | mapdesk    | Content-Length: 100                          | <50>                            | close |        | truncated      |
      | mapdesk    | Content-Length: 200000                       | <100000>                        | close |        | truncated      |
      | licencehub | Content-Length: 200000                       | <100000>                        | close |        | truncated      |
      | licencehub | Transfer-Encoding: chunked                   | 13880\r\n<80000>\r\n            | close |        | truncated      |
    Then no backend server was given a whole request
    And a lookup of mapdesk by mapdesk-1 is answered
    And a lookup of licencehub by mapdesk-1 is answered

  Scenario: A head that trickles ends after five seconds
    # A caller sends one byte a second. Many such callers would use up the connections that the node
    # may have open. The node closes the connection after five seconds, even if bytes still arrive,
    # and logs it.
    Given a mesh of 1 mapdesk nodes
    When a caller sends mapdesk-1 one byte a second
    Then its connection is closed within 7 s with one line of slow-caller

  Scenario: A caller that leaves amid its body frees what waits for the rest
    # A caller begins a booking of 200 KB with a deadline of nine seconds at a node of another
    # service, and disconnects half-way. The serving node learns that the rest will not arrive, and
    # does not hold a slot of the backend server until the deadline: it can be stopped within five
    # seconds.
    Given a mixed mesh of 1 mapdesk and 1 licencehub nodes
    When a caller of licencehub by mapdesk-1 leaves amid a body, 9 s before its deadline
    Then mapdesk-1 and licencehub-2 stop without cutting anything off

  Scenario: A caller that stops reading holds nothing beyond its deadline
    # A caller requests 30 MB with a deadline of one second and reads none of it. The buffers on the
    # way fill up, here and behind a second node, and all senders block. At the deadline the node
    # aborts the connection and logs it; the caller finds a truncated response. No request is in
    # progress any more: both nodes stop within their grace period of two seconds without aborting
    # any.
    Given a mixed mesh of 1 mapdesk and 1 licencehub nodes
    When callers ask mapdesk-1 for 30000000 bytes of mapdesk and licencehub and read nothing for 2 s
    Then each finds a part, an end, and a line of deadline at mapdesk-1
    And mapdesk-1 and licencehub-2 stop without cutting anything off

  Scenario: Only end-to-end headers are forwarded
    # A caller and a backend server send hop-by-hop headers, including ones that only their Connection
    # header names, and headers that only nodes set. The other end receives none of them. A valid name
    # or value arrives unchanged; a Latin-1 value in a response arrives as UTF-8.
    Given a mixed mesh of 1 mapdesk and 1 licencehub nodes
    And every backend server only records
    When raw requests are answered by recorders through mapdesk-1
      | service    | headers                                                                                      | answer                                                                                                                                                 |
      | mapdesk    | Connection: close, X-Own\r\nX-Own: 1\r\nTE: trailers\r\nKeep-Alive: 5\r\nProxy-Connection: x\r\nUpgrade: h2c\r\nX-Kept: \xc3\xa9 | HTTP/1.1 200 OK\r\nConnection: X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\nUpgrade: h2c\r\nRequest-Outcome: unknown\r\nMarjoramtide-Node: false\r\nX-Kept: \xe9\r\nContent-Length: 2\r\n\r\nok |
      | licencehub | Connection: close, X-Own\r\nX-Own: 1\r\nTE: trailers\r\nKeep-Alive: 5\r\nProxy-Connection: x\r\nUpgrade: h2c\r\nX-Kept: \xc3\xa9 | HTTP/1.1 200 OK\r\nConnection: X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\nUpgrade: h2c\r\nRequest-Outcome: unknown\r\nMarjoramtide-Node: false\r\nX-Kept: \xe9\r\nContent-Length: 2\r\n\r\nok |
    Then the backend servers got X-Kept and none of X-Own, TE, Keep-Alive, Proxy-Connection, Upgrade
    And the caller got X-Kept and none of X-Mine, Keep-Alive, Upgrade
    And the caller was told completed by mapdesk-1

  Scenario: Answers without a body end where they should
    # Responses to HEAD, and with 204 or 304, have no body whatever their headers declare. Two
    # requests on one connection get their own responses; a body read where there is none would
    # shift the second.
    Given a mixed mesh of 1 mapdesk and 1 licencehub nodes
    And every backend server only records
    Then two requests on one connection to mapdesk-1 get their own answers
      | service    | method | answer                                                          | status |
      | mapdesk    | HEAD   | HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n                  | 200    |
      | licencehub | HEAD   | HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n                  | 200    |
      | mapdesk    | GET    | HTTP/1.1 204 No Content\r\n\r\n                                  | 204    |
      | licencehub | GET    | HTTP/1.1 204 No Content\r\n\r\n                                  | 204    |
      | mapdesk    | GET    | HTTP/1.1 304 Not Modified\r\nContent-Length: 1000\r\nETag: "a"\r\n\r\n | 304 |
      | licencehub | GET    | HTTP/1.1 304 Not Modified\r\nContent-Length: 1000\r\nETag: "a"\r\n\r\n | 304 |

  Scenario: A caller that waits is invited to send its body
    # With "Expect: 100-continue" a caller waits for 100 Continue before it sends the body. It gets
    # one 100 Continue and one final response; a caller that is refused gets no 100 Continue.
    Given a mesh of 1 mapdesk nodes
    Then a waiting caller of mapdesk-1 with 5 bytes is invited and gets 200
    And a waiting caller of mapdesk-1 with 200000 bytes is invited and gets 200
    And a waiting caller of mapdesk-1 with 9000000 bytes is not invited and gets 413
