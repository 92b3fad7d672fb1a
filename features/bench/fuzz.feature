Feature: Broken input is taken or refused, never stumbled over
  Readers of bytes from outside get random bytes and mutations of valid input. They must accept it or
  refuse it with an expected error; anything else is a fault.

  Scenario Outline: No reader of what others write stumbles
    When each reader gets 300 broken inputs of seed <seed>
    Then there is no fault

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Valid requests in unusual framing are answered
    # Guards against a bound on chunks or on requests ahead that a client inside the limits meets.
    When a node gets 8 connections of framed requests of seed <seed>
    Then each was answered in full

    Examples:
      | seed |
      | 1    |
      | 2    |
