Feature: The backend servers of an evacuated data centre get nothing until it is taken back

  Scenario: An evacuation and its end are in force within a second
    # Each node routes by its own view, while the operator expects that nothing more is sent there.
    Given nodes on the platform beside mapdesk at east, mapdesk at west, licencehub at west
    When the operator evacuates east
    Then from 1 s on 20 requests through each node are answered 200, and none runs at east
    When the operator ends the evacuation of east
    Then from 1 s on some of 60 requests through each node run at east

  Scenario: A node that has not heard refuses truly, and its caller is served elsewhere
    # One node still forwards to an evacuated data centre. The nodes there refuse the request as not
    # run, and it is retried in another data centre without using up the attempts of its route.
    Given nodes on the platform beside mapdesk at east, mapdesk at east, mapdesk at east, mapdesk at west, licencehub at north
    And only the nodes at east learn of evacuations
    When the operator evacuates east
    Then from 1 s on 20 requests through each node are answered 200, and none runs at east
    And node 5 has made at most 1 retry for each of 20 requests

  Scenario: What waits for a server of an evacuated data centre is run by another
    # Requests that were queued before the evacuation would still reach the evacuated server after it.
    Given nodes on the platform with 1 slot of 800 ms beside mapdesk at east, mapdesk at west
    And 4 bookings of 8 s through node 1 have begun
    When the operator evacuates east
    Then all bookings are answered 200, and each has run once
    And no more than 1 has run at east

  Scenario: A node that starts amid an evacuation knows of it before it serves
    Given nodes on the platform beside mapdesk at west
    And the operator has evacuated east
    When a node starts beside mapdesk at east
    Then from 0 s on 20 requests through each node are answered 200, and none runs at east

  Scenario: A node that starts alone amid an evacuation knows of it before it serves
    # After the loss of all nodes, the store is the only source of the evacuation.
    Given a store on the platform in which east is evacuated
    When a node starts beside mapdesk at east
    Then 5 requests through node 1 are answered 503 with a retry hint within 0.5 s
    And none has run at east

  Scenario: Nodes that the store turns away hear of an evacuation from others
    Given nodes on the platform beside mapdesk at east, mapdesk at west, mapdesk at west
    And the store is unreachable for all nodes but node 3
    When the operator evacuates east
    Then from 1.5 s on 20 requests through each node are answered 200, and none runs at east

  Scenario: A node that no datagram of it reaches hears of an evacuation with the settings
    # Each node asks another node several times within the period for which its settings stay valid.
    Given nodes on the platform beside mapdesk at east, mapdesk at west
    And the store is unreachable for all nodes but node 2
    And no changes of the store are sent by datagram
    When the operator evacuates east
    Then from 3 s on 20 requests through each node are answered 200, and none runs at east

  Scenario: Where all data centres are evacuated, callers are refused at once
    Given nodes on the platform beside mapdesk at east, mapdesk at west
    When the operator evacuates east and west
    And 1 s passes on the platform
    Then 5 requests through node 1 are answered 503 with a retry hint within 0.5 s

  Scenario Outline: The name of an entry is the order, whatever else it holds
    Given nodes on the platform beside mapdesk at east, mapdesk at west
    When the operator evacuates east by an entry that holds <what>
    Then from 1 s on 20 requests through each node are answered 200, and none runs at east

    Examples:
      | what          |
      | null          |
      | 7             |
      | {"text": 7}   |
      | [[[]]]        |

  Scenario: A name that no data centre has is without effect
    Given nodes on the platform beside mapdesk at east
    When the operator evacuates nowhere
    Then from 1 s on some of 20 requests through each node run at east

  Scenario: An evacuation that is ended and ordered again between two looks stays in force
    Given nodes on the platform beside mapdesk at east, mapdesk at west
    And the operator has evacuated east
    When the operator ends the evacuation of east and evacuates it again
    Then from 1 s on 20 requests through each node are answered 200, and none runs at east

  Scenario: An evacuation is held to when the store comes back from a copy without it
    # The operator writes the evacuation again some time later; until then nothing may be sent there.
    Given nodes on the platform beside mapdesk at east, mapdesk at west
    And a copy of the store is kept
    And the operator has evacuated east
    When the store comes back from the copy
    Then from 1 s on 20 requests through each node are answered 200, and none runs at east
    When the operator evacuates east
    And the operator ends the evacuation of east
    Then from 1 s on some of 60 requests through each node run at east

  Scenario: A copy that has an ended evacuation again is obeyed until the operator ends it anew
    Given nodes on the platform beside mapdesk at east, mapdesk at west
    And the operator has evacuated east
    And a copy of the store is kept
    When the operator ends the evacuation of east
    And the store comes back from the copy
    Then from 1 s on 20 requests through each node are answered 200, and none runs at east
    When the operator ends the evacuation of east
    Then from 1 s on some of 60 requests through each node run at east
