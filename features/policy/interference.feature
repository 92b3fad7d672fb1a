Feature: Decisions go by how much neighbours slow a backend server down
  Decisions alone, without a network: times are made up, and so is what servers tell.

  Scenario: The times at which a server's speed may change are found
    Given a server whose neighbours come and go at every third of a second, seen 40 times a second
    When it is followed for 8 s
    Then the next change is known to within 20 ms
    And looks for the next 10 s are fewer than 12 a second

  Scenario: Stretches of random length are no grid
    Given a server whose neighbours come and go at any time, seen 40 times a second
    When it is followed for 30 s
    Then what was said to hold broke at most 1 time in 10

  Scenario: Work is counted as if it had run undisturbed
    # A booking of 90 ms ran through a slow stretch and took 210 ms. Learned as it was, the server
    # would seem to have turned slow for good.
    Given a server that was 4 times slower from 1.0 s to 1.16 s
    Then work from 0.95 s to 1.16 s counts as 90 ms

  Scenario: A request goes where it ends before its goal, the nearest first
    Given nodes that tell their speed
      | node | data centre | slowdown | holds for ms |
      | own  | a           | 4        | 200          |
      | near | a           | 1        | 250          |
      | far  | b           | 1        | 250          |
    And requests of a kind that runs 90 ms
    When one with 300 ms left is placed 20 times
    Then it goes to "near" 20 times

  Scenario: A server that is about to change is not one to count on
    Given nodes that tell their speed
      | node | data centre | slowdown | holds for ms |
      | near | a           | 1        | 10           |
      | far  | b           | 1        | 280          |
    And requests of a kind that runs 150 ms
    When one with 200 ms left is placed 20 times
    Then it goes to "far" 20 times

  Scenario: Where nobody is in time, a second try asks nobody
    # More comes than can be done. Each request that asked one full node after the other would take
    # the processor time that the answers need, to be refused four times in place of once.
    Given nodes that tell their speed
      | node | data centre | slowdown | holds for ms |
      | near | a           | 4        | 300          |
      | far  | b           | 4        | 300          |
    And requests of a kind that runs 150 ms
    Then a first try with 200 ms left asks one of them
    And a second try with 200 ms left asks none

  Scenario: A server that slows down when nearly full is kept below that
    # With 11 of 11 slots in use everything takes 1.7 times as long. All that ran is late, and less is
    # done than with 8 in use.
    Given a server of 11 slots that takes 1.7 times as long above 8 at once
    When it is driven with all slots that it is given
    Then at most 8 run at once after 200 executions

  Scenario: A server that does not slow down keeps all its slots
    Given a server of 11 slots that takes 1.0 times as long above 8 at once
    When it is driven with all slots that it is given
    Then at most 11 run at once after 200 executions

  Scenario: Under more than can be done, answers come before their goal
    # Twice what the server can do arrives for 10 s. In the order of deadlines nearly every request
    # is answered, and nearly every answer is late. By the goal, as many are answered, in time.
    Given a server of 8 slots that runs 100 ms, and requests with a goal of 300 ms and 800 ms in all
    When 160 a second come for 10 s
    Then at least 90 in 100 of the answers come before the goal
    And at least 70 a second are answered
    And 95 in 100 refusals come within 40 ms
