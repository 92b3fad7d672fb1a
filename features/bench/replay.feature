Feature: The replay plays the same trace each time and holds runs to stated outcomes

  Scenario: The same seed gives the same calls, at any length the same rates
    Given the recorded trace "straggler"
    Then its calls are the same on each reading
    And at half the length it has about half of the calls and its fault at half the time

  Scenario: Every recorded trace has outcomes that can be checked
    Then each recorded trace names a site, its origin and at least one outcome

  Scenario Outline: An outcome is met, missed or not checked
    # A comparison with a policy that was not run must not count as a met outcome.
    Given replay runs whose lookups took 100 ms under "predicted" and 300 ms under "round-robin"
    When the p99 of "predicted" is held to at most <ratio> of "<reference>"
    Then the replay's verdict is "<verdict>"

    Examples:
      | ratio | reference     | verdict     |
      | 0.5   | round-robin   | met         |
      | 0.2   | round-robin   | MISSED      |
      | 1.05  | best-baseline | met         |
      | 0.5   | two-choices   | not checked |

  Scenario: A policy without a single completed call does not pass for a fast one
    # A load balancer that refuses every request has no latencies. Its p99 must not count as 0 ms.
    Given replay runs whose lookups took 100 ms under "round-robin" and none completed under "predicted"
    When the p99 of "predicted" is held to at most 1.05 of "round-robin"
    Then the replay's verdict is "MISSED"

  Scenario: A run in which the load tool was late proves no tail, but its broken promises count
    # On a busy machine the load tool sends late, and the latencies measure the machine rather than
    # the load balancer. Executions are still valid: a booking that ran twice is a duplicate.
    Given replay runs whose lookups took 100 ms under "predicted" and 300 ms under "round-robin"
    And the load tool was 400 ms late under "round-robin", where a booking ran twice
    When the p99 of "predicted" is held to at most 0.5 of "round-robin"
    Then the replay's verdict is "not checked"
    And the replay finds the duplicate under "round-robin"

  Scenario: A trace with an unknown key is rejected with its name
    When a recorded trace with the key "rats" in a phase is read
    Then the error of the replay names the file and "rats"
