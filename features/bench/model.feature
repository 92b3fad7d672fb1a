Feature: Decisions are played in virtual time on deployments that nobody chose

  Scenario: The same seed gives the same day, and the same verdict on two settings
    # An experiment compares two sets of plays pair by pair. If a day differed between the two for
    # any other reason than the decisions, a gain could not be told from luck.
    Given a deployment of 4 servers with neighbours that is played for 8 seconds
    When it is played twice under seed 1
    Then both plays have the same figures
    And placing at random is found no better than the policy in force, on seeds 1 to 3

  Scenario: Somebody who knows everything does better than the nodes
    # The bound must lie above what is measured against it, or the way left to go means nothing.
    Given a deployment of 4 servers with neighbours that is played for 8 seconds
    When it is played under the policy in force and under the oracle
    Then the oracle answers more within the goal

  Scenario: A node that ends loses what it serves, and another run of it serves on
    Given a deployment of 4 servers whose nodes all end at second 3 and begin again
    When it is played under the policy in force
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
    # Code is renamed, and the table of what each mechanism is worth goes on to leave out a name that
    # nobody reads. The mechanism would pass for worth nothing, and be removed.
    Given the mechanisms that are measured
    Then each of them can be left out, and its source is where the table says
    And a mechanism of a name that does not exist is refused

  Scenario: What a mechanism is worth is told against the whole product
    Given a deployment of 4 servers with neighbours that is played for 8 seconds
    When it is played with and without waiting for the server's pace, on seeds 1 to 3
    Then the row of the table tells a loss within the goal
