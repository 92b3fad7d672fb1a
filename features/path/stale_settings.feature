Feature: A node that can't know which settings are in force takes no callers' requests

  Scenario: A node is cut off from the store and from every other node
    # The store stops responding and all other nodes die. The node goes on serving for the period in
    # the settings. Then it refuses requests with a Retry-After, since a change may have been
    # accepted elsewhere, and serves again once the store responds.
    Given a mesh of 2 mapdesk nodes
    And traffic: 10 lookups a second of mapdesk for 2 s
    And traffic: 10 late-lookups a second of mapdesk for 2 s
      | key  | value |
      | from | 10    |
    And traffic: 10 last-lookups a second of mapdesk for 2 s
      | key     | value |
      | from    | 14    |
      | retries | 5     |
    When while traffic enters by mapdesk-1
      | at   | what  | whom             |
      | 0.5  | kill  | mapdesk-2        |
      | 0.5  | store | {"mode": "drop"} |
      | 12.5 | store | {"mode": "up"}   |
    Then every promise is kept
    And late-lookups ended only as not-run
    And all last-lookups completed
