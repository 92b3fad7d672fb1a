Feature: Backend servers come, drain and leave in any order
  A server registers at the node beside it. An acknowledgement is binding: once the node has
  acknowledged that a server leaves, that server gets no new requests.

  Scenario: A server that drains gets no new work from the acknowledgement on
    Given a fleet on the platform: mapdesk, mapdesk
    When the server of node 1 reports that it drains
    And a client asks node 1 for "/tiles/7" 20 times
    Then the client gets 200 with the seal and the whole body of its own request
    And the server of node 1 ran none of them

  Scenario: What waits for a server that drains is run by another
    # All slots are in use and bookings are queued in the node when the server starts to drain. They
    # have not run, so they are handed back and run by another server, without an error to a client.
    Given a fleet on the platform with 1 slot of 1500 ms: mapdesk, mapdesk
    And 3 bookings are in progress through node 1, where only node 1 has a server
    When the server of node 1 reports that it drains and that of node 2 registers
    Then all 3 bookings are answered 200, each run once
    And the server of node 1 ran 1 of them

  Scenario: A departure may come first, without draining
    Given a fleet on the platform: mapdesk, mapdesk
    When the server of node 1 leaves
    And a client asks node 1 for "/tiles/7" 20 times
    Then the client gets 200 with the seal and the whole body of its own request
    And the server of node 1 ran none of them

  Scenario: A late heartbeat does not bring back a server that has left
    # A network partition delays a heartbeat until after the server has deregistered. If it were
    # accepted, new work would go to a server that is shutting down.
    Given a fleet on the platform: mapdesk, mapdesk
    When the server of node 1 leaves
    And an old heartbeat of the server of node 1 arrives
    And a client asks node 1 for "/tiles/7" 20 times
    Then the server of node 1 ran none of them

  Scenario: A late heartbeat does not undo draining
    # A heartbeat is overtaken by a later one that reports draining. Health checks still succeed, so
    # only the acknowledged state keeps new work away.
    Given a fleet on the platform: mapdesk, mapdesk
    When the server of node 1 reports that it drains, while its health is good
    And an old heartbeat of the server of node 1 arrives
    And a client asks node 1 for "/tiles/7" 20 times
    Then the server of node 1 ran none of them

  Scenario: A heartbeat of a dead start does not displace its successor
    # A server crashed during a network partition, and a new instance registered at the same address.
    # A delayed heartbeat names the old instance; if it were accepted, the new instance would refuse
    # each request as addressed to another one.
    Given a fleet on the platform: mapdesk
    When the server of node 1 becomes instance "i-2" without registering
    And the server of node 1 registers as "i-2"
    And a heartbeat of instance "i-0" arrives at node 1
    And a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: A lookup that is lost with its server is run by the next incarnation
    # Guards against failing a lookup though the only server is up again and there is time left.
    Given a fleet on the platform: mapdesk
    And the server of node 1 falls silent amid its answers, which have a length
    When lookups and bookings of 1000 and 1000 bytes are under way there through all nodes
    And the server of node 1 registers as "i-2"
    Then one of the lookups is answered whole, and the bookings got 502 and ran once each

  Scenario: A server that is up again is used from its first heartbeat on
    # Guards against judging a new incarnation by the failed health checks of the one before.
    Given a fleet on the platform: mapdesk
    And the server of node 1 is down, and its health is not read again
    When it starts again as "i-2" and registers, and a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: A heartbeat of another service, or of nonsense, is refused
    Given a fleet on the platform: mapdesk
    Then node 1 refuses the heartbeat of another service with 400
    And node 1 refuses a heartbeat that is no JSON with 400
