Feature: The backend server stand-in behaves like the platform's servers

  The replay's results depend on the stand-in, so its slots, refusals and counters are checked here.

  Scenario: A request over its slots waits inside the server and is refused at its deadline
    # Slow requests occupy both slots. The third one queues in the server until its deadline passes
    # before a slot is free; the server refuses it and it never runs.
    Given a stand-in with 2 slots that are held by requests of 60000 ms
    When a stand-in booking with a deadline of 50 ms arrives
    Then the stand-in responds with 503 and the outcome "not-run"
    And the stand-in has run 2 requests

  Scenario: A lookup whose caller leaves frees its slot; a booking runs on
    # When the caller of a lookup disconnects, the server cancels it. A booking that has started is
    # not undone when its caller disconnects, so it continues and counts as run.
    Given a stand-in with 2 slots that are held by requests of 60000 ms
    When the callers of the lookup and of the booking that hold the slots leave
    Then the stand-in has 1 slot in use, 2 cancels and 2 requests run

  Scenario: A draining server says so, closes its connections, and refuses after its grace
    # The operator drains the server. Its responses ask callers to close their connections, and new
    # requests are refused once the grace period has passed.
    Given a stand-in with 2 slots that drains with a grace of 0 ms
    When a stand-in booking with a deadline of 1000 ms arrives
    Then the stand-in responds with 503 and the outcome "not-run"
    And the stand-in asked to close the connection and says "draining"

  Scenario: A misleading load endpoint says idle while the server is full
    Given a stand-in with 2 slots that are held by requests of 60000 ms
    When the stand-in is told to mislead
    Then its load endpoint says 0 slots in use and its statistics say 2

  Scenario: Noise slows work by the steps it covers
    # A neighbour slows whole time steps down fourfold: of 100 ms of work, 6.25 ms are done in each
    # slowed step of 25 ms.
    Given stand-in noise of factor 4 in all steps of 25 ms
    Then 100 ms of stand-in work take 400 ms
