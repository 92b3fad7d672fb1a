Feature: Other nodes learn that a server has started again
  Load reports carry an incarnation, the number of server starts that the node has seen. What was
  learned about one incarnation is dropped at the first report of the next.

  Scenario: A server that failed is asked again once it has started anew
    # A server fails all its requests until it is ejected, crashes and restarts. Its first report is of
    # a new incarnation. If its former failures still counted, it would stay idle for up to half a
    # minute while the other servers are full.
    Given a selector that has seen a node fail 20 times and ejected it
    When a report of the next start of its server comes
    Then nothing of its failures, times and ejections is held against it

  Scenario: A report of a former start that comes late is passed over
    Given a selector that has seen a node fail 20 times and ejected it
    When a report of the next start of its server comes
    And a report of the former start comes late
    Then the report of the next start is believed

  Scenario: A node of the version before reads reports of a server that has started again
    # In a rolling update both versions run in one fleet. A report that one version can't read is lost,
    # and requests are sent without load information.
    Given reports of a server before and after it has started again
    Then a node of the version before reads both, and takes the later one for newer
    And what a node of the version before reports is of the first start

  Scenario: A report to which a later version has added figures is read
    Given reports of a server before and after it has started again
    Then a report with two more figures at its end is read as it is without them

  Scenario: What a server says that it takes travels beside what the version before reads
    # In a rolling update both versions run in one fleet. Messages without a statement are unchanged.
    Given a report and a request that tell of a limit of 7.6, and ones that tell of none
    Then a node of the version before reads both reports, and the request that tells of none
    And this version reads all four, and what the version before sends
