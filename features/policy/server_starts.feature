Feature: Other nodes learn that a server has started again
  Reports count the starts of a server that its node has seen. What was learned of the one before is
  forgotten with the first report of the next.

  Scenario: A server that failed is asked again once it has started anew
    # A server fails all it gets until it is ejected, crashes and is back. Its first report comes from
    # a new start. Held to its former failures, it stays idle for up to half a minute while the other
    # servers are full.
    Given a selector that has seen a node fail 20 times and ejected it
    When a report of the next start of its server comes
    Then nothing of its failures, times and ejections is held against it

  Scenario: A report of a former start that comes late is passed over
    Given a selector that has seen a node fail 20 times and ejected it
    When a report of the next start of its server comes
    And a report of the former start comes late
    Then the report of the next start is believed

  Scenario: A node of the version before reads reports of a server that has started again
    # In a rolling update both versions share a fleet. A report that one side can't read is lost, and
    # requests are sent blindly.
    Given reports of a server before and after it has started again
    Then a node of the version before reads both, and takes the later one for newer
    And what a node of the version before reports is of the first start

  Scenario: A report to which a later version has added figures is read
    Given reports of a server before and after it has started again
    Then a report with two more figures at its end is read as it is without them

  Scenario: What a server says that it takes travels beside what the version before reads
    # In a rolling update both versions share a fleet. Messages that say nothing of it stay as they were.
    Given a report and a request that tell of a limit of 7.6, and ones that tell of none
    Then a node of the version before reads both reports, and the request that tells of none
    And this version reads all four, and what the version before sends
