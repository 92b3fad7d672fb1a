Feature: Broken input is taken or refused, never stumbled over
  Whatever reads bytes from outside gets noise, and sound input with a few bytes changed. Anything
  but taking it or refusing it with an error of ours is a fault.

  Scenario Outline: No reader of what others write stumbles
    When each reader gets 300 broken inputs of seed <seed>
    Then there is no fault

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
