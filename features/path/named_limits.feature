Feature: By our own interface, too, a backend server gets what it says that it takes

  Scenario Outline: A server that names a limit in its answers gets no more
    Given a mesh of 3 mapdesk nodes
    And traffic: 60 lookups a second of mapdesk for 9 s
    When while traffic enters by all nodes
      | at  | what   | whom                             |
      | 1.0 | server | mapdesk-2 {"rate_limit": "<says>"} |
    Then every promise is kept
    And at least 97% of lookups completed
    And mapdesk-2 ran <least> to <most> in each 4 s from second <from> on

    Examples:
      | says | least | most | from |
      | 4    | 8     | 29   | 4.5  |
      | 0    | 0     | 5    | 5.2  |

  Scenario: The end of a limit is heard from the answers that are still given
    Given a mesh of 3 mapdesk nodes
    And traffic: 60 lookups a second of mapdesk for 9 s
    When while traffic enters by all nodes
      | at  | what   | whom                           |
      | 0.5 | server | mapdesk-2 {"rate_limit": "2"}  |
      | 3.0 | server | mapdesk-2 {"rate_limit": ""}   |
    Then every promise is kept
    And mapdesk-2 ran 30 to 240 in each 4 s from second 4.9 on

  Scenario: A server that says in its answers that it leaves gets nothing, until it says so no more
    # The server has no instance identity, so only its responses tell whether it has been restarted.
    Given a mesh of 3 mapdesk nodes
    And traffic: 60 lookups a second of mapdesk for 9 s
    When while traffic enters by all nodes
      | at  | what   | whom                         |
      | 0.5 | server | mapdesk-2 {"leaving": true}  |
      | 3.5 | server | mapdesk-2 {"leaving": false} |
    Then every promise is kept
    And all lookups completed
    And mapdesk-2 ran nothing between second 1.5 and 3.5
    And mapdesk-2 ran 30 to 240 in each 4 s from second 4.9 on
