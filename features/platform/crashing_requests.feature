Feature: On the platform, too, a request that ends the servers that run it is held back

  Scenario: A lookup that ends each server that runs it
    # One lookup is repeated, each time with a new id, and callers of all nodes get failures. Crashed
    # servers restart as new instances; what they ran has to count against the instance that crashed.
    Given a fleet on the platform: mapdesk, mapdesk, mapdesk, mapdesk, licencehub
    And requests for "/tiles/deadly" crash every server, which restarts as another instance after 1 s
    When clients ask for "/tiles/deadly" 20 times in 4 s, each time through another node
    Then at most 3 servers crashed
    And the last 10 of them got 503, to retry after 30 s or more
    And a client that asks node 5 for "/tiles/7" gets 200
    And operators of node 2 see "GET /tiles/deadly" quarantined for 2 crashes or more
    And a client that asks node 3 for "/tiles/deadly" gets 503
    When operators release it at node 2
    Then no node quarantines it any more

  Scenario Outline: What is the same again is known, however it comes
    # An upload is streamed, so only its length is known before a server has received all of it. A call
    # by a running request has an id and a deadline of its own. Each crashes every server that runs it.
    Given a fleet on the platform: mapdesk, mapdesk, mapdesk, licencehub
    And requests for "/tiles/deadly" crash every server, which restarts as another instance after 1 s
    When <what> comes 12 times in 3 s, each time through another node
    Then at most 3 servers crashed
    And the last 5 of them got 503, to retry after 30 s or more

    Examples:
      | what                     |
      | an upload of 200000 bytes |
      | a call of a running request |

  Scenario: The end of a server that had left as planned is put down to nobody
    # A server deregisters and exits shortly afterwards, while a lookup still runs there.
    Given a fleet on the platform: mapdesk, mapdesk, mapdesk, mapdesk, licencehub
    And requests for "/tiles/deadly" crash every server, which restarts as another instance after 1 s
    When the server of node 1 leaves while it runs "/tiles/slow", and exits
    Then no request is suspected at node 2

  Scenario: A server that resets a connection, or is slow, has not ended
    # A connection reset loses a lookup, but the server goes on passing its health checks. The same
    # lookup is lost in this way on two servers, and must still be served.
    Given a fleet on the platform: mapdesk, mapdesk, mapdesk, mapdesk, licencehub
    And requests for "/tiles/deadly" crash every server, which restarts as another instance after 1 s
    When two servers in turn drop the response to "/tiles/9" and keep running
    Then no request is suspected at node 2
    And a client that asks node 5 for "/tiles/9" gets 200

  Scenario: What already waits for a slot is refused at once when it is known to be held back
    # A booking is queued at one node while the same booking crashes servers at two others. Without
    # the check it would wait until its deadline, or crash a third server.
    Given a fleet on the platform with 1 slot of 4000 ms: mapdesk, licencehub
    And 2 bookings are in progress through node 2, one of which waits at node 1
    When node 1 is told that this booking has crashed two servers
    Then one of the bookings is answered 503 within 0.3 s, to retry after 30 s or more
    And the other one is answered 200
