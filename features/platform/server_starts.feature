Feature: A backend server starts again under the identity that it had
  Its count of heartbeats begins anew, and it holds and knows nothing of before. When it was born
  tells its starts apart; the later start replaces all that was known of the earlier one.

  Scenario: A server that comes back under its identity gets work with its first heartbeat
    # A server says that it drains, ends, and is started again under its identity. It counts from 1
    # again. Taken for a late heartbeat of before, it stays without work until it has counted past
    # its former life, and its callers are refused meanwhile.
    Given a fleet on the platform: mapdesk
    And the server of node 1 was born at 1000 and has sent 20 heartbeats
    When the server of node 1 reports that it drains
    And the server of node 1 starts again under its identity, born at 2000
    And a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: Runs of the former start hold no slot of the new one
    # The only slot runs a booking when its server crashes without a word; the connection stays open
    # and silent. The server is back with a free slot. Counted as running, the lost booking would
    # keep everybody waiting until its deadline. Its own caller hears at once that nobody knows what
    # became of it, never that it did not run, and it is not run a second time.
    Given a fleet on the platform with 1 slot of 200 ms: mapdesk
    And the server of node 1 was born at 1000 and has sent 0 heartbeats
    And a booking runs at the server of node 1 when that crashes without a word
    When the server of node 1 starts again under its identity, born at 2000
    And a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request
    And the booking is answered 502 within 1 s and was run once

  Scenario: What was learned of the former start does not bind the new one
    # The former start was slow and failed often, so its limit fell and others turned away from it.
    # Told to the others with its old figures, the new start would be left idle for seconds.
    Given a fleet on the platform: mapdesk
    And the server of node 1 was born at 1000 and has sent 3 heartbeats
    And node 1 has learned that its server is slow and fails
    When the server of node 1 starts again under its identity, born at 2000
    Then node 1 reports a server of which nothing is known, by a later incarnation

  Scenario: A late heartbeat of the former start changes nothing
    Given a fleet on the platform: mapdesk
    And the server of node 1 was born at 1000 and has sent 20 heartbeats
    And the server of node 1 starts again under its identity, born at 2000
    When a heartbeat of the start of 1000 says that it drains
    And a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: A late departure of the former start changes nothing
    Given a fleet on the platform: mapdesk
    And the server of node 1 was born at 1000 and has sent 20 heartbeats
    And the server of node 1 starts again under its identity, born at 2000
    When a departure of the start of 1000 arrives
    And a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: A server that has left comes back by a later start alone
    # The departure of a start is final: its own late heartbeat must not bring it back. A later start
    # of the same identity is another matter.
    Given a fleet on the platform: mapdesk, mapdesk
    And the server of node 1 was born at 1000 and has sent 3 heartbeats
    When the server of node 1 leaves
    And an old heartbeat of the server of node 1 arrives
    Then no server is registered at node 1
    When the server of node 1 starts again under its identity, born at 2000
    Then the server of node 1 is registered as born at 2000

  Scenario: A departure that overtakes the first heartbeat of its start is final for that start
    # A server starts again, and says at once that it leaves; its departure arrives before its first
    # heartbeat does. Remembered as the former start's, the heartbeat would bring it back, and work
    # would go to a server that is gone.
    Given a fleet on the platform: mapdesk, mapdesk
    And the server of node 1 was born at 1000 and has sent 3 heartbeats
    When a departure of the start of 2000 arrives
    And a late heartbeat of the start of 2000 arrives
    Then no server is registered at node 1

  Scenario: Without the time of birth the count alone decides
    Given a fleet on the platform: mapdesk
    And the server of node 1 has sent 5 heartbeats
    When an old heartbeat of the server of node 1 arrives
    Then the server of node 1 is registered with heartbeat 6
