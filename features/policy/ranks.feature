Feature: What the operator ranks as urgent goes first, calls by the rank of what waits for them

  Scenario: Calls of routine requests do not displace urgent requests
    # A dispatch driver's urgent lookup is refused, although its service ranks it first: two thirds
    # of its servers are gone, and what is left runs calls that routine tile reads have made. Ranked
    # by themselves and before all callers, such calls left 14 in 100 of the lookups in time.
    Given 5 desks whose routine reads call a hub twice, and a hub for urgent lookups
    When reads bring the hub 90 in 100 of what it can do, and lookups 50 in 100
    Then at least 85 in 100 of the urgent lookups are answered within the goal
    And at least 20 in 100 of the reads are

  Scenario: A request of a lower rank goes first, however long others have waited
    # An urgent renewal comes when routine requests have waited for a second and are due before it.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 8 routine requests due in 400 ms arrive
    And 1 first-rank requests due in 1000 ms arrive
    Then those due in 1000, 400 ms start next
