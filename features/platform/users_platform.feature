Feature: A node on the users' platform
  Real nodes over loopback, with stand-ins of the platform's store, operator and backend servers.
  Clients, servers and the store use the platform's protocols.

  Scenario: A request is served whole by the service of its route, whichever node takes it
    Given a fleet on the platform: mapdesk, mapdesk, licencehub
    When a client asks node 3 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request
    And a mapdesk server ran it with the service "licencehub" as the caller
    And it ran for the instance that is registered, with less time than the client gives

  Scenario: A path that no route covers is not found, and reaches no server
    Given a fleet on the platform: mapdesk
    When a client asks node 1 for "/nowhere/7"
    Then the client gets 404
    And no server ran anything

  Scenario: A node that holds no configuration refuses instead of denying
    # A node has just started and the store does not answer. The route may exist, so a 404 would make
    # the client give up for good. The client is told that nothing ran and when to retry.
    Given a node on the platform whose store is unavailable
    When a client asks node 1 for "/tiles/7"
    Then the client gets 503 and a retry hint
    And node 1 does not take callers

  Scenario: A node refuses as long as the operator has written no configuration
    # The store answers but is still empty. With this project's own store, a fleet may run without
    # settings; on the platform, the first configuration has yet to be written.
    Given a node on the platform whose store holds no configuration
    # Two hundred nodes that poll for their first configuration share the store's rate limit with
    # the operator who has to write it.
    Then the store was asked for it at most once in half a second
    When a client asks node 1 for "/tiles/7"
    Then the client gets 503 and a retry hint
    And node 1 does not take callers

  Scenario: What the system sets itself is set anew, whatever a client sends
    # A client forges the headers for the calling service and the expected instance. If they were
    # forwarded, the server would trust the first and refuse the request because of the second.
    Given a fleet on the platform: mapdesk
    When a client asks node 1 for "/tiles/7" with headers
      | name                | value    |
      | X-Calling-Service   | intruder |
      | X-Expected-Instance | i-other  |
    Then the client gets 200 with the seal and the whole body of its own request
    And a mapdesk server ran it with the service "mapdesk" as the caller

  Scenario: Parts of a route get their shares
    Given a fleet on the platform: mapdesk, licencehub
    And a route "/split/" that is 9 parts mapdesk and 1 part licencehub
    When a client asks node 1 for "/split/1" 200 times
    Then mapdesk ran 175 to 185 of them

  Scenario: The second answer to one request is nobody else's
    # A server responds to a request twice, and the second response arrives after the next request
    # was sent on the same connection, whose client would get a response that is not its own.
    Given a fleet on the platform: mapdesk
    And the server of node 1 answers the next request twice
    When a client asks node 1 for "/tiles/1" 20 times
    Then the client got 200 with the seal and the whole body of its own request each time

  Scenario: Answers without a length are under way when their server's next incarnation registers
    # Guards against delivering the half that arrived before a crash as the whole answer.
    Given a fleet on the platform: mapdesk, licencehub
    And the server of node 1 falls silent amid its answers, which have no length
    When lookups and bookings of 1000 and 200000 bytes are under way there through all nodes
    And the server of node 1 registers as "i-2"
    Then no client gets a part of a body that looks whole

  Scenario: A success without a seal is no answer
    # A server returns a success without the seal header, which is not its real response. A lookup is
    # retried, and the client gets the sealed response.
    Given a fleet on the platform: mapdesk, mapdesk
    And every server answers the next request without a seal
    When a client asks node 1 for "/tiles/7"
    Then the client gets no success without a seal

  Scenario: A node whose place another has taken is no reason to deny a request
    # A node was replaced, and its address now belongs to a node of another service. Nodes that do
    # not know this yet forward there and are told that the service is not served. The route exists,
    # so a 404 would make the client give up for good.
    Given a fleet on the platform: mapdesk, licencehub
    And node 1 is replaced by a node of another service
    When a client asks node 2 for "/tiles/7"
    Then the client gets 503 and a retry hint
    And no server ran anything

  Scenario: Another server at the same address runs nothing, and the word of it is not "unknown"
    # The server beside a node was replaced and the new instance is not registered yet. Requests name
    # the registered instance, so the new one refuses them: "not run" is certain, and the booking may
    # be sent elsewhere.
    Given a fleet on the platform: mapdesk
    And the server of node 1 becomes instance "i-2" without registering
    When a client books through node 1
    Then the client gets 503 and a retry hint
    And no server ran anything
    When the server of node 1 registers as "i-2"
    And a client books through node 1
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: A booking does not meet the end of an idle connection that the server had announced
    # The server announces that it closes idle connections after a second. If a booking were sent on
    # one later, its connection would break, and whether it ran would be unknown.
    Given a fleet on the platform: mapdesk
    And its server keeps idle connections for 1 s, and its health is not read
    When a booking is made, and another one 1.3 s later
    Then both bookings are answered 200
