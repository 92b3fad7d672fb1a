Feature: An answer of the backend server is taken whole, from its own request, or not at all

  Scenario Outline: What a backend server sends is taken as it was meant
    # Nothing is wrong here: the ways in which HTTP/1.1 can frame an answer.
    Given a scripted backend server that answers <sent>
    When a GET goes to the scripted backend server
    Then its answer has status 200 and the body "<body>"

    Examples:
      | sent                                                                                       | body  |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello                                          | hello |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\nX: y\r\n\r\n | hello |
      | HTTP/1.1 200 OK\r\n\r\nhello then close                                                    | hello |
      | HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello  | hello |
      | HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello                                          | hello |

  Scenario Outline: What can't be taken for a whole answer is none
    # The answer breaks off, or states its length in a way that two readers could understand
    # differently. A part of it must not reach the caller as the whole. The request may have run:
    # the outcome is unknown, and the request was sent once only.
    Given a scripted backend server that answers <sent>
    When a GET goes to the scripted backend server
    Then its outcome is unknown with the code <code>
    And the scripted backend server got 1 request

    Examples:
      | sent                                                                                      | code           |
      | then close                                                                                | backend-failed |
      | HTTP/1.1 200 OK\r\nConte then close                                                       | backend-failed |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel then close                                | truncated      |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel then close                  | truncated      |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n then close            | truncated      |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello                    | backend-failed |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n       | backend-failed |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello                                   | backend-failed |
      | HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 5\r\n\r\nhello                           | backend-failed |
      | HTTP/1.1 200 OK\nContent-Length: 5\n\nhello                                               | backend-failed |

  Scenario Outline: A connection that says more than it was asked is not used again
    # Behind the answer to one request stands another one, which nobody asked for. The next request
    # on that connection would take it for its own: its caller would get a foreign answer.
    Given a scripted backend server that answers <sent>
    When a GET goes to the scripted backend server
    And another GET goes to the scripted backend server
    Then its answer has status 200 and the body "own"
    And the scripted backend server got 2 connections

    Examples:
      | sent                                                                                                                            |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nownHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign                              |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown then pause then HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign then pause  |
      | HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nown                                                            |

  Scenario: Clean connections are used again
    Given a scripted backend server that answers HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown
    When a GET goes to the scripted backend server
    And another GET goes to the scripted backend server
    Then the scripted backend server got 1 connections

  Scenario: A request that was given up leaves no connection behind
    # The caller goes away before the answer; the answer arrives later. Were the connection kept, the
    # next request on it would get the answer of the first.
    Given a scripted backend server that answers then pause then HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold
    When a GET to the scripted backend server is cancelled before its answer
    And another GET goes to the scripted backend server
    Then the scripted backend server got 2 connections

  Scenario: A line break in a header is no way to write a second request
    # A header that came from another node holds a line break and a request behind it. Written as it
    # stands, the backend server would see two requests, and each later answer on that connection
    # would go to the wrong caller.
    Given a scripted backend server that answers HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown
    When a GET with the header value "a\r\n\r\nGET /smuggled HTTP/1.1" goes to the scripted backend server
    Then its outcome is not run with the code bad-request
    And the scripted backend server got 0 requests

  Scenario Outline: A body that is not as long as announced ends its connection
    # A caller's upload breaks off, or is longer than it said. Filled up from the next request, it
    # would be taken for a whole one.
    Given a scripted backend server that answers nothing
    When a POST announces 10 bytes and sends <sent> to the scripted backend server
    Then its outcome is unknown with the code backend-failed
    And the scripted backend server got at most 10 bytes of body

    Examples:
      | sent |
      | 5    |
      | 15   |

  Scenario: Nobody listens at the backend server's address
    # The connection is refused before anything was sent, so "not run" is certain.
    Given a scripted backend server that has gone
    When a GET goes to the scripted backend server
    Then its outcome is not run with the code connect-failed
    And the request never counted as begun

  Scenario: Every connection is in use
    # Ten requests hang. An eleventh connection could make the backend server drop others; waiting
    # for a free one could last until the deadline. It is refused at once, and has not run.
    Given a scripted backend server that answers nothing
    When 10 GETs hang at the scripted backend server
    And a GET goes to the scripted backend server
    Then its outcome is not run with the code overloaded
    And the scripted backend server got 10 connections

  Scenario Outline: A refusal is a refusal whatever it says of when to come back
    # The backend server says that it did not run the request, and adds nonsense. Read as an error,
    # a provable "not run" would become "unknown", and the request would not go on elsewhere.
    Given a scripted backend server that answers HTTP/1.1 503 No\r\nRequest-Outcome: not-run\r\n<hint>\r\nContent-Length: 0\r\n\r\n
    When a GET goes to the scripted backend server
    Then its refusal tells to come back after <told>

    Examples:
      | hint                    | told    |
      | Retry-After-Ms: 250     | 250 ms  |
      | Retry-After: 1          | 1000 ms |
      | Retry-After-Ms: ²       | nothing |
      | Retry-After-Ms: -5      | nothing |
      | Retry-After: tomorrow   | nothing |
