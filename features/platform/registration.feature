Feature: Backend servers come, drain and leave in any order
  A server tells the node beside it of itself. What is acknowledged is kept to: a server that has
  heard that its leaving is known gets nothing new.

  Scenario: A server that drains gets no new work from the acknowledgement on
    Given a fleet on the platform: mapdesk, mapdesk
    When the server of node 1 reports that it drains
    And a client asks node 1 for "/tiles/7" 20 times
    Then the client gets 200 with the seal and the whole body of its own request
    And the server of node 1 ran none of them

  Scenario: What waits for a server that drains is run by another
    # Slots are full and bookings wait in the node when the server says that it drains. They have not
    # run: handed back, another server runs them, and no client hears of it.
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
    # A cut held a heartbeat up. It arrives after the server has said that it leaves; believed, it
    # would send new work to a server that is going.
    Given a fleet on the platform: mapdesk, mapdesk
    When the server of node 1 leaves
    And an old heartbeat of the server of node 1 arrives
    And a client asks node 1 for "/tiles/7" 20 times
    Then the server of node 1 ran none of them

  Scenario: A late heartbeat does not undo draining
    # A heartbeat from before is overtaken by the one that says draining. The server's health is still
    # good; only what was acknowledged keeps new work away.
    Given a fleet on the platform: mapdesk, mapdesk
    When the server of node 1 reports that it drains, while its health is good
    And an old heartbeat of the server of node 1 arrives
    And a client asks node 1 for "/tiles/7" 20 times
    Then the server of node 1 ran none of them

  Scenario: A heartbeat of a dead start does not displace its successor
    # The sender crashed behind a cut, and a new start registered at the same address. The heartbeat
    # that was held up names the dead one; taken for news, each request would be refused as meant
    # for another.
    Given a fleet on the platform: mapdesk
    When the server of node 1 becomes instance "i-2" without registering
    And the server of node 1 registers as "i-2"
    And a heartbeat of instance "i-0" arrives at node 1
    And a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: A heartbeat of another service, or of nonsense, is refused
    Given a fleet on the platform: mapdesk
    Then node 1 refuses the heartbeat of another service with 400
    And node 1 refuses a heartbeat that is no JSON with 400
