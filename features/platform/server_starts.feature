Feature: A backend server starts again under the identity that it had
  The sequence numbers of its heartbeats start over, and it has lost all requests and state. Its
  starts are told apart by the time of birth; a later start replaces what was known of the earlier.

  Scenario: A server that comes back under its identity gets work with its first heartbeat
    # A server drains, exits and is restarted under its old identity, with sequence numbers from 1
    # again. If its heartbeats were taken for late ones, it would get no work, and callers would be
    # refused, until the numbers exceeded those of the former start.
    Given a fleet on the platform: mapdesk
    And the server of node 1 was born at 1000 and has sent 20 heartbeats
    When the server of node 1 reports that it drains
    And the server of node 1 starts again under its identity, born at 2000
    And a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: Runs of the former start hold no slot of the new one
    # A booking runs in the only slot when its server crashes; the connection stays open and silent.
    # The restarted server has a free slot. If the lost booking still counted as running, all others
    # would wait until its deadline. Its caller is told at once that the outcome is unknown, never
    # that it did not run, and it is not run a second time.
    Given a fleet on the platform with 1 slot of 200 ms: mapdesk
    And the server of node 1 was born at 1000 and has sent 0 heartbeats
    And a booking runs at the server of node 1 when that crashes without a word
    When the server of node 1 starts again under its identity, born at 2000
    And a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request
    And the booking is answered 502 within 1 s and was run once

  Scenario: What was learned of the former start does not bind the new one
    # The former start was slow and failed often, so its limit fell and other nodes avoided it. If its
    # figures were reported for the new start, that would be left idle for seconds.
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
    # The departure of a start is final, so its own late heartbeat must not register it again. A later
    # start of the same identity must be registered.
    Given a fleet on the platform: mapdesk, mapdesk
    And the server of node 1 was born at 1000 and has sent 3 heartbeats
    When the server of node 1 leaves
    And an old heartbeat of the server of node 1 arrives
    Then no server is registered at node 1
    When the server of node 1 starts again under its identity, born at 2000
    Then the server of node 1 is registered as born at 2000

  Scenario: A departure that overtakes the first heartbeat of its start is final for that start
    # A server restarts and leaves at once, and its departure arrives before its first heartbeat. If
    # the departure were recorded for the former start, the heartbeat would register the server
    # again, and work would go to a server that is gone.
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
