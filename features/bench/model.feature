Feature: Decisions are played in virtual time on deployments that nobody chose

  Scenario: The same seed gives the same day, and the same verdict on two settings
    # An experiment compares two sets of simulations pair by pair. If they differed for any other
    # reason than the nodes' decisions, an improvement could not be separated from chance.
    Given a deployment of 4 servers with neighbours that is simulated for 8 seconds
    When it is simulated twice with seed 1
    Then both simulations have the same figures
    And random selection does no better than the default policy, on seeds 1 to 3

  Scenario: Somebody who knows everything does better than the nodes
    # The upper bound must lie above the policy, or the gap between them has no meaning.
    Given a deployment of 4 servers with neighbours that is simulated for 8 seconds
    When it is simulated under the default policy and under the oracle
    Then the oracle answers more within the goal

  Scenario: A node that ends loses what it serves, and another run of it serves on
    Given a deployment of 4 servers whose nodes all crash at second 3 and restart
    When it is simulated under the default policy
    Then requests of that moment have failed and those of the last seconds are served

  Scenario Outline: A deployment file with a mistake is refused with its place
    Given a deployment file with <mistake>
    Then reading it fails and names "<named>"

    Examples:
      | mistake                  | named          |
      | an unknown key           | rate_per_sec   |
      | a share above 0.9        | share          |
      | a service without a name | name           |
      | a split to nowhere       | split names    |

  Scenario: A mechanism that is left out is one that there is
    # When code is renamed, the table of mechanisms could go on to replace a name that nothing uses.
    # The mechanism would appear to have no effect, and be removed.
    Given the mechanisms that are measured
    Then each of them can be disabled, and its source is in the module that the table names
    And a mechanism whose target does not exist is refused

  Scenario: What a mechanism is worth is told against the whole product
    Given a deployment of 4 servers with neighbours that is simulated for 8 seconds
    When it is simulated with and without waiting for the server's pace, on seeds 1 to 3
    Then the row of the table shows a loss of in_goal
