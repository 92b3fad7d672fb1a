Feature: What the fleets measured say of a large one

  Scenario: Costs are carried on along a straight line
    Given fleets of 10, 20, 40 and 80 nodes that cost 3 and 0.5 for each node
    When their costs are extrapolated to 790 nodes
    Then the cost is 398 with no residual

  Scenario: Times are carried on with the logarithm of the fleet
    Given fleets of 8, 16, 32 and 64 nodes that cost 0 and 1 for each node
    And their times are 1 s and 0.25 s for each doubling
    When their costs are extrapolated to 1024 nodes
    Then the time is 3.5 s

  Scenario: A fleet that is off the line shows in the residual
    Given fleets of 10, 20, 40 and 80 nodes that cost 3 and 0.5 for each node
    But the fleet of 40 nodes costs 6 more
    When their costs are extrapolated to 790 nodes
    Then the residual is more than 3 and at most 6

  Scenario: The peak of calls is that of any second, not of a sample
    Given store samples every 0.25 s with 0, 40, 0, 0, 0, 30, 30 and 0 reads between them
    Then the peak is 60 reads a second
