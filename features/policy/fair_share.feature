Feature: A server that is short is shared fairly among workspaces
  One server with 10 slots and work of 200 ms, 50 requests a second. Twenty small workspaces send 2
  requests a second each, a large one 8. An answer counts within 600 ms.

  Scenario Outline: Who asks for little gets it, whatever a large workspace asks for
    # The large workspace sends several times its usual load. Its requests fill the queue, and those of
    # all other workspaces wait behind them and are late or rejected as often as its own.
    When the large workspace sends <times> times its usual load
    Then the small ones get no more than 5 in 100 fewer answers in time than at its usual load
    And the large one gets at least <least> in 100 of the remaining capacity

    Examples:
      | times | least |
      | 3     | 60    |
      | 6     | 60    |

  Scenario: What some don't ask for goes to the others
    # If only the large workspace sends requests, it must not be limited to a share of the server.
    When only the large workspace sends, 7 times its usual load
    Then it gets at least 85 in 100 of the server's capacity

  Scenario: A workspace with one request a second is served beside one with hundreds
    When a workspace sends 1 request a second beside one with 300
    Then the small one gets at least 90 in 100 answers in time

  Scenario: A rank goes before a share
    # Requests of an urgent route must not wait because of other requests of their workspace.
    When the large workspace sends 6 times its usual load, beside urgent requests
    Then at least 90 in 100 of those are in time

  Scenario: Thousands of workspaces are counted in bounded state
    When 5000 workspaces send one request each
    Then at most 512 of them are tracked
