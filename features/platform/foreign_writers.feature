Feature: Malformed input from other programs registers no server and removes nothing
  Another program may write a malformed heartbeat or store entry: with fields missing or of a wrong
  type, an unknown state, or undecodable bytes. It is refused or skipped, counted and logged; valid
  entries next to it are still used.

  Scenario Outline: A malformed heartbeat registers no server
    # If a malformed heartbeat registered a server, callers' requests would be sent to a server that
    # does not exist or is not ready.
    Given a fleet on the platform whose server has not registered: mapdesk
    When a heartbeat arrives at node 1 whose <field> is <value>
    Then it is refused with 400 and counted
    And no server is registered at node 1

    Examples:
      | field              | value       |
      | Status.State       | "warming"   |
      | Status.State       | 7           |
      | Status.State       | missing     |
      | Status.SeqNo       | "4"         |
      | Status.SeqNo       | true        |
      | Status.SeqNo       | -1          |
      | Status.SeqNo       | missing     |
      | Status.ColdLeftMs  | NaN         |
      | Status.ColdLeftMs  | "3"         |
      | Status             | missing     |
      | Status             | [1]         |
      | Info.Service       | ["mapdesk"] |
      | Info.Service       | missing     |
      | Info.Slots         | -3          |
      | Info.Slots         | 0           |
      | Info.Slots         | "18"        |
      | Info.Slots         | 4.5         |
      | Info.Slots         | missing     |
      | Info.Zone          | 3           |
      | Info.Version       | missing     |
      | Info               | null        |
      | Address            | 5           |
      | Address            | "nowhere"   |
      | Address            | missing     |
      | born               | "1000"      |
      | born               | 1000.5      |
      | born               | true        |
      | born               | null        |
      | born               | -1          |

  Scenario: Bytes that are no heartbeat are refused one by one
    Given a fleet on the platform whose server has not registered: mapdesk
    Then node 1 refuses these heartbeats, and no server is registered
      | bytes             |
      | not UTF-8         |
      | cut short         |
      | nested deeply     |
      | empty             |
      | a list            |
      | larger than 64 KB |

  Scenario: An identity with a line break is refused
    # Identities are sent in request headers. One with a line break would inject another header.
    Given a fleet on the platform whose server has not registered: mapdesk
    When a heartbeat of the identity "i-1%0d%0aX-Other: 1" arrives at node 1
    Then it is refused with 400 and counted
    And no server is registered at node 1

  Scenario: A malformed heartbeat removes no server
    Given a fleet on the platform: mapdesk
    When a heartbeat arrives at node 1 whose Status.State is 7
    And a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request

  Scenario: One malformed entry leaves the rest of a list readable
    # If one malformed entry made the whole list of nodes fail, a starting node would find no others.
    When the store answers a list of which every second entry is malformed
    Then the valid entries are read and the others counted

  Scenario: One malformed change leaves the rest of a watch readable
    When the store answers a watch of which every second change is malformed
    Then the valid changes are read and the others counted

  Scenario: A starting node finds the others despite malformed announcements
    Given a fleet on the platform: mapdesk
    And malformed announcements in the store
    When another node starts
    Then it knows 2 nodes within 5 s

  Scenario: Malformed load headers are ignored
    Then these load headers are ignored
      | header         |
      |                |
      | 1,2            |
      | a,b,c          |
      | 1,2,3,NaN      |
      | 1,2,3,inf      |
      | 1,2,3,-100     |
      | 1,2,3,0        |
      | NaN,0,8        |
      | inf,0,8        |
      | -1,0,8         |
      | 1.5,0,8        |
      | 1e400,0,8      |
    And the load header "3,1,8,250" says 3 running, 1 waiting, 8 slots and 2.5 times as long

  Scenario: A malformed claim is not accepted
    # A malformed claim that was read as "released" would let a request run a second time.
    Then a stored claim with a field missing or of another type is not accepted as a claim
