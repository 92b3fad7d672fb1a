Feature: What the operator ranks as urgent goes first, calls by the rank of what waits for them

  Scenario: Calls of routine requests do not displace urgent requests
    # An urgent lookup is rejected although its service ranks it first: two thirds of its servers are
    # lost, and the rest run calls that routine tile reads have made. When such calls had a rank of
    # their own, before all callers, 14 in 100 of the lookups were in time.
    Given 5 desks whose routine reads call a hub twice, and a hub for urgent lookups
    When reads load the hub to 90 in 100 of its capacity, and lookups to 50 in 100
    Then at least 85 in 100 of the urgent lookups are answered within the goal
    And at least 20 in 100 of the reads are

  Scenario: A request of a lower rank goes first, however long others have waited
    # An urgent request arrives when routine requests have waited for a second and are due before it.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 8 routine requests due in 400 ms arrive
    And 1 first-rank requests due in 1000 ms arrive
    Then those due in 1000, 400 ms start next
