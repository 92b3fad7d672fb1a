Feature: The adapter holds names and decides nothing
  The platform's names are decoded once. Outside of the adapter nothing knows them, so that a change
  of the wire is a change of one small package, and a reader of the rest needs no page of theirs.

  Scenario: No module outside of the adapter knows a name of the platform's wire
    Then no name of the wire stands outside of the adapter

  Scenario: The adapter has no part in any decision
    Then the adapter imports neither decisions nor clocks, chance or the event loop
