Feature: Cancelled requests don't count as failures of the backend server

  Scenario: The losers of hedges don't make a healthy server look like a failing one
    # Lookups are hedged to a second server if the first is slow, and the losing attempt is
    # cancelled. If it counted as a failure, it would lower the server's limit and success rate and
    # cause its endpoints to be polled more often, although the server never failed.
    Given the serving side of a node whose backend server never answers
    When 20 lookups are cancelled while they run there
    Then its load report shows a success rate of 1 and nothing in use

  Scenario: Requests and their cancels arrive together
    # A node was stopped by a signal, or busy, while requests and then their cancellations arrived,
    # and reads both at once. Each cancellation ends a task that has not started yet, so the task's
    # own cleanup never runs: the requests would count as in progress for as long as the connection
    # lasts, and a planned stop would wait for them until its grace period ends and others are cut
    # off.
    Given a connection in whose socket 3 requests stand, each with its cancel
    When its session reads them
    Then none of them is held as in progress there

  Scenario: Bookings that can't be claimed don't make their servers look full
    # The store is down, and every booking with a key is refused with a Retry-After of one second,
    # which concerns the store. If it were taken as the node's own, lookups would all be sent to the
    # few nodes that have not refused a booking lately, and queue there.
    Given a dispatcher with nodes that do unclaimed
    When an idempotent request is dispatched
    Then the selector counts no node as overloaded or failing

  Scenario: Bookings that can't be claimed don't lower the limit of a backend server
    # Each booking holds a slot when its claim is refused. The backend server never saw it.
    Given the serving side of a node whose claims are all refused
    When 20 bookings with keys are refused there
    Then its load report shows a success rate of 1 and nothing in use
    And its limit is that of before
