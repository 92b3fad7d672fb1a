Feature: A request that was given up says nothing of the backend server

  Scenario: The losers of hedges don't make a healthy server look like a failing one
    # Lookups are tried at a second server where the first is slow; the loser is cancelled. Counted
    # as failures, the losers would lower the server's limit and success rate, and have its endpoints
    # read more often, though it never failed.
    Given the serving side of a node whose backend server never answers
    When 20 lookups are cancelled while they run there
    Then its load report shows a success rate of 1 and nothing in use

  Scenario: Requests and their cancels arrive together
    # A node was stopped by a signal, or busy, while requests and the cancels of those who gave them
    # up came in; it reads both in one go. Each cancel ends a task that has not had its first turn,
    # in which no cleanup of its own would run: the requests would be held as in progress for as
    # long as the connection lasts, and a planned stop would wait for them until it cuts off others.
    Given a connection in whose socket 3 requests stand, each with its cancel
    When its session reads them
    Then none of them is held as in progress there

  Scenario: Bookings that can't be claimed don't make their servers look full
    # The store is down and every booking with a key is refused for it, with a second to come back
    # after. The second is the store's. Taken for the node's own, lookups would crowd onto the few
    # nodes that no booking has met lately, and wait there.
    Given a dispatcher with nodes that do unclaimed
    When an idempotent request is dispatched
    Then the selector takes no node for full or failing

  Scenario: Bookings that can't be claimed don't lower the limit of a backend server
    # Each booking has a slot when its claim is refused. The backend server never saw it.
    Given the serving side of a node whose claims are all refused
    When 20 bookings with keys are refused there
    Then its load report shows a success rate of 1 and nothing in use
    And its limit is that of before
