Feature: On the platform, too, a request that ends the servers that run it is held back

  Scenario: A lookup that ends each server that runs it
    # Callers of all nodes get failures while one lookup is repeated, each time with an id of its own.
    # Servers that end start again under other identities; what they ran is put down to the former.
    Given a fleet on the platform: mapdesk, mapdesk, mapdesk, mapdesk, licencehub
    And requests for "/tiles/deadly" end every server, which registers again as another after 1 s
    When clients ask for "/tiles/deadly" 20 times in 4 s, each time through another node
    Then at most 3 servers ended
    And the last 10 of them got 503, with 30 s or more to wait
    And a client that asks node 5 for "/tiles/7" gets 200
    And operators of node 2 see "GET /tiles/deadly" held back for 2 ends or more
    And a client that asks node 3 for "/tiles/deadly" gets 503
    When operators release it at node 2
    Then no node holds it back any more

  Scenario Outline: What is the same again is known, however it comes
    # An upload is read as a stream, so that only its length is known before a server has all of it; a
    # call that a running request makes has an id and a deadline of its own. Each ends every server
    # that runs it.
    Given a fleet on the platform: mapdesk, mapdesk, mapdesk, licencehub
    And requests for "/tiles/deadly" end every server, which registers again as another after 1 s
    When <what> comes 12 times in 3 s, each time through another node
    Then at most 3 servers ended
    And the last 5 of them got 503, with 30 s or more to wait

    Examples:
      | what                     |
      | an upload of 200000 bytes |
      | a call of a running request |

  Scenario: The end of a server that had left as planned is put down to nobody
    # A server says that it leaves and ends a little later, while a lookup still runs there.
    Given a fleet on the platform: mapdesk, mapdesk, mapdesk, mapdesk, licencehub
    And requests for "/tiles/deadly" end every server, which registers again as another after 1 s
    When the server of node 1 leaves while it runs "/tiles/slow", and ends
    Then nothing is suspected at node 2

  Scenario: A server that resets a connection, or is slow, has not ended
    # A reset loses a lookup; its server answers its health endpoint all the while. The same lookup
    # was lost on two servers like that and is still served.
    Given a fleet on the platform: mapdesk, mapdesk, mapdesk, mapdesk, licencehub
    And requests for "/tiles/deadly" end every server, which registers again as another after 1 s
    When two servers in turn lose the answer of "/tiles/9" and live on
    Then nothing is suspected at node 2
    And a client that asks node 5 for "/tiles/9" gets 200

  Scenario: What already waits for a slot is refused at once when it is known to be held back
    # A booking waits for a slot at one node while the same booking ends servers at two others. It
    # would wait until its deadline, or end a third.
    Given a fleet on the platform with 1 slot of 4000 ms: mapdesk, licencehub
    And 2 bookings are in progress through node 2, one of which waits at node 1
    When node 1 hears that this booking has ended two servers
    Then one of the bookings is answered 503 within 0.3 s, with 30 s or more to wait
    And the other one is answered 200
