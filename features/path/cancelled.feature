Feature: A request that was given up says nothing of the backend server

  Scenario: The losers of hedges don't make a healthy server look like a failing one
    # Lookups are tried at a second server where the first is slow; the loser is cancelled. Counted
    # as failures, the losers would lower the server's limit and success rate, and have its endpoints
    # read more often, though it never failed.
    Given the serving side of a node whose backend server never answers
    When 20 lookups are cancelled while they run there
    Then its load report shows a success rate of 1 and nothing in use
