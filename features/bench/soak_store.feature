Feature: A soak judges what the store acknowledged while it left nodes without answers

  Scenario Outline: Which runs break a configuration that moves a route
    # Guards against a soak that excuses a late node, or blames one that the pages excuse.
    Given a soak in which a route moves and <who> is disturbed from 1 s before until <until> s after
    When node 0 sends a request <sent> s after, which the <service> service runs
    Then the changes of the soak show <verdict>

    Examples:
      | who               | until | sent | service | verdict |
      | nobody            | 0     | 1.9  | old     | nothing |
      | nobody            | 0     | 2.1  | old     | CONFIG  |
      | nobody            | 0     | 2.1  | new     | nothing |
      | nobody            | 0     | -0.5 | old     | nothing |
      | node 0            | 1     | 3.9  | old     | nothing |
      | node 0            | 1     | 4.1  | old     | CONFIG  |
      | node 1            | 1     | 2.1  | old     | CONFIG  |
      | a part of store   | 1     | 3.9  | old     | nothing |
      | a part of store   | 1     | 4.1  | old     | CONFIG  |
      | a part of store   | 30    | 6.9  | old     | nothing |
      | a part of store   | 30    | 7.1  | old     | CONFIG  |
      | the store         | 1     | 3.9  | old     | nothing |
      | the store         | 1     | 4.1  | old     | CONFIG  |
      | the store         | 30    | 7.1  | old     | nothing |

  Scenario Outline: Which runs break an evacuation
    # Guards against a soak that misses work in an evacuated data centre.
    Given a soak in which a data centre is evacuated and <who> is disturbed from 1 s before until <until> s after
    When node 0 sends a request <sent> s after, which a server <where> runs
    Then the changes of the soak show <verdict>

    Examples:
      | who             | until | sent | where      | verdict |
      | nobody          | 0     | 4.9  | there      | nothing |
      | nobody          | 0     | 5.1  | there      | EVAC    |
      | nobody          | 0     | 5.1  | elsewhere  | nothing |
      | nobody          | 0     | 20.1 | there      | nothing |
      | node 0          | 4     | 6.9  | there      | nothing |
      | a part of store | 4     | 6.9  | there      | nothing |
      | a part of store | 4     | 7.1  | there      | EVAC    |
      | a part of store | 30    | 10.1 | there      | EVAC    |

  Scenario: Those that read the store are left without answers, and their successors
    # Guards against a fleet that believes what a few silent watchers don't tell.
    When the soak of seed 3 with store-access is run
    Then it has kept every promise, and served 1500 requests
    And the store has acknowledged 6 changes
