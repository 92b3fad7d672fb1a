Feature: An answer of the backend server is taken whole, from its own request, or not at all

  Scenario Outline: What a backend server sends is taken as it was meant
    # Valid ways to frame a response in HTTP/1.1.
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
    # The response is truncated, or its length is ambiguous. A part of it must not be forwarded as
    # the complete response. The request may have run, so the outcome is unknown and the request is
    # sent only once.
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

  Scenario Outline: A response without a length that the server did not end is not whole
    # Guards against taking the node's own close, or a reset, for the server's end of a response.
    Given a scripted backend server that answers HTTP/1.1 200 OK\r\n\r\n<sent> then <then>
    When a GET goes to the scripted backend server, and amid its answer <event>
    Then its outcome is unknown with the code truncated

    Examples:
      | sent         | then  | event                           |
      | half         | hang  | a new process replaces it       |
      | half         | hang  | the node stops                  |
      | half         | hang  | the node gives the answer up    |
      | half         | reset | nothing else happens            |
      | 70000 bytes  | hang  | a new process replaces it       |
      | 70000 bytes  | hang  | the node stops                  |
      | 70000 bytes  | hang  | the node gives the answer up    |
      | 70000 bytes  | reset | nothing else happens            |

  Scenario: A health response without a length that the node ends itself is not whole
    # Guards against judging a backend server by a part of its health response.
    Given a scripted backend server that answers HTTP/1.1 200 OK\r\n\r\n{"state": then hang
    When its health is read, and amid the answer a new process replaces it
    Then its outcome is unknown with the code truncated

  Scenario: A response without a length that ends before the node closes its connection is whole
    # Guards against losing a response that the server has ended to a close that comes right after.
    Given a scripted backend server that answers HTTP/1.1 200 OK\r\n\r\nwhole then close
    When a GET goes to the scripted backend server, and a new process replaces it once it has ended
    Then its answer has status 200 and the body "whole"

  Scenario Outline: A connection that says more than it was asked is not used again
    # An unsolicited second response follows the first. The next request on that connection would
    # receive it, and its caller would get the wrong response.
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
    # The caller disconnects before the response arrives. If the connection were kept, the next
    # request on it would receive the response to the first one.
    Given a scripted backend server that answers then pause then HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold
    When a GET to the scripted backend server is cancelled before its answer
    And another GET goes to the scripted backend server
    Then the scripted backend server got 2 connections

  Scenario: A line break in a header is no way to write a second request
    # Request smuggling: a header received from another node contains a line break and a second
    # request. If it were sent unchanged, the backend server would see two requests, and every later
    # response on that connection would go to the wrong caller.
    Given a scripted backend server that answers HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown
    When a GET with the header value "a\r\n\r\nGET /smuggled HTTP/1.1" goes to the scripted backend server
    Then its outcome is not run with the code bad-request
    And the scripted backend server got 0 requests

  Scenario Outline: A body that is not as long as announced ends its connection
    # A caller's upload is truncated or longer than announced. On a reused connection, bytes of the
    # next request would complete a truncated body.
    Given a scripted backend server that answers nothing
    When a POST announces 10 bytes and sends <sent> to the scripted backend server
    Then its outcome is unknown with the code backend-failed
    And the scripted backend server got at most 10 bytes of body

    Examples:
      | sent |
      | 5    |
      | 15   |

  Scenario: Nobody listens at the backend server's address
    # The connection is refused before anything is sent, so "not run" is certain.
    Given a scripted backend server that has gone
    When a GET goes to the scripted backend server
    Then its outcome is not run with the code connect-failed
    And the request was never dispatched

  Scenario: Every connection is in use
    # Ten requests hang. An eleventh connection could make the backend server drop others, and
    # waiting for a free connection could take until the deadline, so the request is rejected at once.
    Given a scripted backend server that answers nothing
    When 10 GETs hang at the scripted backend server
    And a GET goes to the scripted backend server
    Then its outcome is not run with the code overloaded
    And the scripted backend server got 10 connections

  Scenario Outline: A refusal is a refusal whatever it says of when to come back
    # The backend server rejects the request with an invalid retry delay. If that raised an error, a
    # certain "not run" would become "unknown", and the request would not be retried elsewhere.
    Given a scripted backend server that answers HTTP/1.1 503 No\r\nRequest-Outcome: not-run\r\n<hint>\r\nContent-Length: 0\r\n\r\n
    When a GET goes to the scripted backend server
    Then its rejection asks for a retry after <told>

    Examples:
      | hint                    | told    |
      | Retry-After-Ms: 250     | 250 ms  |
      | Retry-After: 1          | 1000 ms |
      | Retry-After-Ms: ²       | nothing |
      | Retry-After-Ms: -5      | nothing |
      | Retry-After: tomorrow   | nothing |
