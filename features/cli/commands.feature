Feature: Operators drive the fleet by the command line

  Background:
    Given a live settings fleet of nodes a, b
    And the operators' file tree.toml holds
      """
      # the shared tree
      [services.mapdesk]
      hosts = ["tiles.example"]
      slots = 10
      """
    And the command "settings apply tree.toml" ends with 0

  Scenario: A tree is applied, shown, changed and taken back
    Then the command "settings show" ends with 0 and prints "# marjoramtide settings, revision 1"
    And the command "settings set /services/mapdesk slots 12" ends with 0 and prints "revision 2: in force everywhere"
    And the command "settings get /services/mapdesk slots" ends with 0 and prints "12"
    And the command "settings resolved mapdesk /tiles" ends with 0 and prints "/services/mapdesk"
    And the command "settings set /services/mapdesk/routes/book idempotent no --create" ends with 0 and prints "revision 3"
    And the command "settings diff 1 3" ends with 0 and prints "create /services/mapdesk/routes/book"
    And the command "settings diff tree.toml" ends with 0 and prints "remove /services/mapdesk/routes/book"
    And the command "settings unset /services/mapdesk/routes/book" ends with 0 and prints "revision 4"
    And the command "settings unset /services/mapdesk slots" ends with 0 and prints "revision 5"
    And the command "settings rollback 1" ends with 0 and prints "revision 6"
    And the command "settings show" ends with 0 and prints "# the shared tree"
    And the command "settings history" ends with 0 and prints "/services/mapdesk/routes/book"
    And the command "settings set /services/mapdesk slots 10" ends with 0 and prints "unchanged: revision 6"

  Scenario: Services are created, listed and removed
    Then the command "service create licencehub --hosts=licences.example" ends with 0 and prints "revision 2"
    And the command "service list" ends with 0 and prints "licences.example"
    And the command "service create licencehub" ends with 3 and prints "this branch exists already"
    And the command "service remove licencehub" ends with 0 and prints "revision 3"
    And the command "service remove licencehub" ends with 3 and prints "there is no branch /services/licencehub"

  Scenario: Nodes are looked at and drained
    Then the command "nodes" ends with 0 and prints "ready"
    And the command "status" ends with 0 and prints "settings.current: True"
    And the command "drain b" ends with 0 and prints "b: draining"
    And the command "undrain b" ends with 0 and prints "b: ready"
    And the command "drain z" ends with 3 and prints "0 members are named 'z'"
    And the command "explain mapdesk" ends with 0 and prints "score"
    And the command "explain mapdesk" ends with 0 and prints "overloaded"
    And the command "trace 0af7651916cd43dd8448eb211c80319c" ends with 0 and prints "ingress"

  Scenario: A data centre is evacuated, shown and taken back
    Then the command "evacuate north" ends with 0 and prints "north is evacuated"
    And the command "evacuate north" ends with 0 and prints "north is evacuated"
    And the command "evacuation list" ends with 0 and prints "running"
    And the command "evacuation list" ends with 0 and prints "4        0               0"
    And the command "evacuate nowhere" ends with 3 and prints "no node is in a data centre named 'nowhere'"
    And the command "evacuate north --release" ends with 0 and prints "north gets work again"
    And the command "evacuation release north" ends with 3 and prints "not-found"
    And the command "evacuation list" ends with 0 and prints "data_centre  author"

  Scenario: A request that is held back is shown and released
    # Backend servers crashed while they ran a request. The servers are fixed, but the callers of the
    # request would have to wait until the quarantine expires.
    Given "GET /tiles/7" with the fingerprint 00c0ffee00c0ffee is held back for 55 s
    Then the command "quarantine list" ends with 0 and prints "GET /tiles/7"
    And the command "quarantine list" ends with 0 and prints "00c0ffee00c0ffee  2     55.0    6        2"
    And the command "quarantine release 00c0ffee" ends with 3 and prints "not held back"
    And the command "quarantine release 00c0ffee00c0ffee" ends with 0 and prints "is released: GET /tiles/7"
    And the command "quarantine release 00c0ffee00c0ffee" ends with 3 and prints "not held back"
    And the command "quarantine list" ends with 0 and prints "fingerprint"

  Scenario: The editor's text is applied on top of the revision it was opened at
    Given the editor replaces "slots = 10" by "slots = 14"
    Then the command "settings edit" ends with 0 and prints "revision 2"
    And the command "settings get /services/mapdesk slots --json" ends with 0 and prints "14"

  Scenario: The editor's text is refused and not lost
    Given the editor replaces "slots = 10" by "slot = 14"
    Then the command "settings edit" ends with 3 and prints "your text is kept in"

  Scenario: A file that was made from an older revision
    Another operator changes the tree between show and apply. A change of a different branch is
    merged; a change of the same branch is a conflict, and nothing is written.
    Given the file mine.toml is what the command "settings show" prints with "slots = 10" replaced by "slots = 11"
    When the command "service create licencehub" ends with 0
    Then the command "settings apply mine.toml" ends with 0 and prints "on top of other operators' changes"
    And the command "service list" ends with 0 and prints "licencehub"
    And the command "settings apply mine.toml" ends with 3 and prints "branch-conflict"
    And the command "settings apply tree.toml" ends with 3 and prints "give --base"

  Scenario Outline: Errors end with a status for scripts and say what to do next
    Then the command "<command>" ends with <status> and prints "<words>"
    And the command "<command>" says what to do next

    Examples:
      | command                                              | status | words                       |
      | settings set /services/mapdesk slot 12               | 3      | did you mean 'slots'        |
      | settings set /services/mapdesk slots 0               | 3      | from 1 to 10000             |
      | settings set /services/mapdisk slots 9               | 3      | did you mean 'mapdesk'      |
      | settings get /services/mapdesk choices               | 3      | doesn't set choices         |
      | settings show 77                                     | 3      | revision 77 is not kept     |
      | settings resolved nothing                            | 3      | unknown-service             |
      | settings apply nowhere.toml                          | 3      | nowhere.toml                |
      | status --node 127.0.0.1:1                            | 5      | connect-failed at cli.connect (127.0.0.1:1) |
      | status --node localhost:80                           | 2      | is not IP:PORT              |

  Scenario: A member can't be reached
    Given the live settings node b is cut off from all
    Then the command "settings set /services/mapdesk slots 12" ends with 3 and prints "member-unreachable"
    And the command "settings set /services/mapdesk slots 12 --insist --wait_s 0.5" ends with 4 and prints "not in force on: b"

  Scenario: The store is down
    Given the live settings store is down
    Then the command "settings set /services/mapdesk slots 12" ends with 5 and prints "store-unavailable"
    And the command "settings show" ends with 0 and prints "revision 1"

  Scenario: The node goes away while the change is in doubt
    The write is applied, its response is lost and the store is down; then the node stops responding.
    The outcome is unknown; the command prints the change id, and a repeat with it shows the outcome.
    Given the live store loses the answer to the next write and goes down
    When the operators' addresses close once the change is in doubt
    Then the command "settings set /services/mapdesk slots 12 --change-id c7" ends with 6 and prints "change: c7"
    When the operators' addresses and the store are back
    Then the command "settings set /services/mapdesk slots 12 --change-id c7" ends with 0 and prints "accepted before"

  Scenario: Programs read JSON
    Then the command "settings set /services/mapdesk slots 12 --json" prints JSON with revision 2
    And the command "settings set /services/mapdesk slot 12 --json" prints JSON with error bad-settings
