Feature: A restore of the store from a copy reverts nothing that was accepted

  Scenario: Nodes announce themselves again within two seconds
    # The copy is older than the announcements. A starting node would find no others in the store, and
    # the fleet would gradually lose its membership.
    Given an empty store on the platform of which a copy is kept
    And nodes join it beside mapdesk at east, mapdesk at west, licencehub at west
    When the store comes back from the copy
    Then within 2 s the store holds the announcement of each node

  Scenario: Settings that are in force stay, though the store has older ones
    # A node received version 9, which the copy lacks. Versions are assigned by the operator; the
    # store's version is older now, whatever the store's revisions are.
    Given nodes on the platform beside mapdesk at east, mapdesk at west
    And a copy of the store is kept
    And the operator writes version 9 in which "/tiles/" goes nowhere
    When the store comes back from the copy
    Then for 3 s no node has a version below 9 in force

  Scenario: A node that starts asks the others before it serves by what the store has
    Given nodes on the platform beside mapdesk at east, mapdesk at west
    And a copy of the store is kept
    And the operator writes version 9 in which "/tiles/" goes nowhere
    When the store comes back from the copy
    And a node starts without the operator beside mapdesk at west
    Then it has taken callers by version 9 alone

  Scenario: A watch from a revision that the store has given out again misses nothing
    # The store's revision has passed that of the watch again. The store accepts the watch and never
    # reports the changes between the copy and that revision.
    Given nodes on the platform beside mapdesk at east, mapdesk at west
    And a copy of the store is kept
    And the operator writes 5 other entries
    When the store comes back from the copy
    And the operator evacuates west
    And the operator writes 9 other entries
    Then from 1.5 s on 20 requests through each node are answered 200, and none runs at west

  Scenario: A write under a revision that was given out again replaces nothing
    Given a client of the platform's store that has read an object
    When the store comes back from a copy, and another object's writer gets the same revision
    Then its conditional write is refused as a conflict
    And a write that was on its way when the store came back is told to be undecided

  Scenario Outline: A header that tells no epoch makes an answer unreadable
    Given a client of the platform's store that is told of the epoch "<text>"
    Then its read fails as store-unavailable and its write as store-ambiguous

    Examples:
      | text      |
      | seven     |
      | -1        |
      | 1e3       |
      | 99999999  |
