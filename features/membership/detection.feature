Feature: Who is there, over a network in memory
  The protocol core runs with a clock and a random source of the test, so each scenario gives the
  same verdict on every run.

  Scenario: Members find each other and a dead one is noticed
    # The caller sees: requests go only to nodes that run. A process ends without a word; probes of
    # it fail, helpers can't reach it either, it is suspected, and when nobody refutes, it is dead.
    Given a membership network with seed 1 and 20 nodes
    When 5 seconds of membership pass
    Then every running node holds the same 20 members
    When membership node 3 stops without a word
    And 15 seconds of membership pass
    Then every running node holds the same 19 members
    And no membership node had to refute anything

  Scenario: A drain is known everywhere in about a second
    # The caller sees: no request is sent to a draining node any more. The member raises its own
    # incarnation with the new state and tells some members at once, which pass it on.
    Given a membership network with seed 2 and 50 nodes
    When 10 seconds of membership pass
    And membership node 7 starts draining
    And 1 second of membership pass
    Then every running node sees membership node 7 as "draining"
    And membership node 7 is not offered for its service
