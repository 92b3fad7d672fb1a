Feature: A node on the users' platform
  Real nodes over loopback, with stand-ins of the platform's store, its operator and its backend
  servers. Clients, servers and the store speak what the platform speaks.

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
    # A node has just started and the store does not answer. Any route may exist: a 404 would tell
    # the client never to come back. It is told that nothing ran, and when to come back.
    Given a node on the platform whose store is away
    When a client asks node 1 for "/tiles/7"
    Then the client gets 503 and when to come back
    And node 1 does not take callers

  Scenario: A node refuses as long as the operator has written no configuration
    # The store answers, and holds none yet. A fleet of our own may be without settings; here it only
    # means that the first ones are still to come.
    Given a node on the platform whose store holds no configuration
    # Two hundred nodes that wait for their first configuration share the store's rate with the
    # operator who is to write it.
    Then the store was asked for it at most once in half a second
    When a client asks node 1 for "/tiles/7"
    Then the client gets 503 and when to come back
    And node 1 does not take callers

  Scenario: What the system sets itself is set anew, whatever a client sends
    # A client names another calling service and another instance, as one that tries to pass for
    # somebody else would. Passed on, the server would believe the one and refuse for the other.
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
    # A server answers a request twice, and the second answer arrives when the next request has been
    # sent on the same connection. Its client would get the answer of another.
    Given a fleet on the platform: mapdesk
    And the server of node 1 answers the next request twice
    When a client asks node 1 for "/tiles/1" 20 times
    Then the client got 200 with the seal and the whole body of its own request each time

  Scenario: A success without a seal is no answer
    # A server hands out bytes that are not its answer: a success without its signature. A lookup
    # is tried again; the client gets the sealed answer.
    Given a fleet on the platform: mapdesk, mapdesk
    And every server answers the next request without a seal
    When a client asks node 1 for "/tiles/7"
    Then the client gets no success without a seal

  Scenario: A node whose place another has taken is no reason to deny a request
    # An instance was replaced, and its address belongs to a node of another service. Nodes that have
    # not heard of it yet send there and are told that this service is not served. The route exists:
    # told "not found", the client would never come back.
    Given a fleet on the platform: mapdesk, licencehub
    And the place of node 1 is taken by a node of another service
    When a client asks node 2 for "/tiles/7"
    Then the client gets 503 and when to come back
    And no server ran anything

  Scenario: Another server at the same address runs nothing, and the word of it is not "unknown"
    # The server beside a node was replaced and has not registered yet. Requests name the one that
    # was registered, so that the new one refuses them: "not run" is true, and the booking is free to
    # go elsewhere.
    Given a fleet on the platform: mapdesk
    And the server of node 1 becomes instance "i-2" without a word
    When a client books through node 1
    Then the client gets 503 and when to come back
    And no server ran anything
    When the server of node 1 registers as "i-2"
    And a client books through node 1
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: A booking does not meet the end of an idle connection that the server had announced
    # The server keeps an idle connection for a second and says so. Sent on it later, a booking breaks
    # off, and nobody can tell its caller whether it ran.
    Given a fleet on the platform: mapdesk
    And its server keeps idle connections for 1 s, and its health is not read
    When a booking is made, and another one 1.3 s later
    Then both bookings are answered 200
