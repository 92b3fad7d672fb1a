Feature: The choice between data centres

  Scenario: The nearest data centre is preferred while it is about as quick
    Given a predicting ingress node in a data centre with 3 of 9 serving nodes
    Then between 95% and 100% of 500 next choices stay in its data centre

  Scenario: Load spills over when the nearest data centre is slow
    # The nearest data centre is full, and the next one, a hop away, is idle.
    Given a predicting ingress node in a data centre with 3 of 9 serving nodes
    When the nodes of its data centre report 30 queued
    Then between 0% and 10% of 500 next choices stay in its data centre

  Scenario: Spilling over doesn't swing between data centres
    # All ingress nodes leave a slow data centre at once. They see its load late, so they overload
    # the next one before they notice, and all return at once: latency oscillates every few hundred
    # milliseconds.
    Given two data centres whose latency follows their share of the load 200 ms late
    When load that needs a little of the second one is spread for 30 s
    Then the share of requests that leave varies by less than 0.2 in the last 10 s
    And the share of requests that leave is between 0.05 and 0.6
