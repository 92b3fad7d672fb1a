Feature: One tree of settings, where a branch inherits and overrides only what differs

  Background:
    Given the settings tree
      """
      timeout_ms = 900
      [regions.viti-west]
      timeout_ms = 800
      max_depth = 7
      [regions.viti-west.data_centres.nadi-hall]
      max_depth = 6
      [regions.viti-west.data_centres.nadi-hall.services.mapdesk]
      slots = 20
      [services.mapdesk]
      hosts = ["tiles.example"]
      timeout_ms = 700
      [services.mapdesk.routes."/tiles"]
      idempotent = "yes"
      [services.mapdesk.routes."/tiles/book"]
      idempotent = "no"
      [regions.viti-west.services.mapdesk.routes."/tiles"]
      timeout_ms = 250
      """

  Scenario Outline: The most specific branch that sets a key gives its value
    Then in <region> <data_centre> the path <path> of mapdesk has <key> <value> from <branch>

    Examples:
      | region    | data_centre  | path          | key            | value | branch                                                     |
      | elsewhere | hall         | /             | timeout_ms     | 700   | /services/mapdesk                                          |
      | elsewhere | hall         | /tiles/7      | timeout_ms     | 700   | /services/mapdesk                                          |
      | viti-west | lautoka-hall | /tiles/7      | timeout_ms     | 250   | /regions/viti-west/services/mapdesk/routes/tiles           |
      | viti-west | nadi-hall    | /tiles?z=1    | slots          | 20    | /regions/viti-west/data_centres/nadi-hall/services/mapdesk |
      | viti-west | nadi-hall    | /             | max_depth      | 6     | /regions/viti-west/data_centres/nadi-hall                  |
      | viti-west | lautoka-hall | /             | max_depth      | 7     | /regions/viti-west                                         |
      | viti-west | lautoka-hall | /             | max_timeout_ms | 10000 | default                                                    |
      | viti-west | nadi-hall    | /tiles/7      | idempotent     | yes   | /services/mapdesk/routes/tiles                             |
      | viti-west | nadi-hall    | /tiles/book/1 | idempotent     | no    | /services/mapdesk/routes/tiles/book                        |
      | viti-west | nadi-hall    | /tilesets     | idempotent     | method | default                                                   |

  Scenario: A Host header finds its service with or without a port, in any case
    Then the host "Tiles.Example:8080" belongs to "mapdesk"
    And the host "mapdesk" belongs to no service

  Scenario Outline: A tree that isn't allowed is refused with the path, the value and what is allowed
    Then the tree <text> is refused with <message>

    Examples:
      | text                                             | message                                                                    |
      | timeout = 3                                      | /: unknown key 'timeout'; did you mean 'timeout_ms'?                       |
      | [service.x]                                      | /: unknown key 'service'; did you mean 'services'?                         |
      | [services.x]\nslots = "a"                        | /services/x: slots = 'a'; allowed: a whole number from 1 to 10000          |
      | [services.x]\nslots = true                       | /services/x: slots = True; allowed: a whole number from 1 to 10000         |
      | [services.x]\nretry_budget = 1.5                 | /services/x: retry_budget = 1.5; allowed: a number from 0 to 1             |
      | [services.x]\nretry_budget = nan                 | /services/x: retry_budget = nan; allowed: a number from 0 to 1             |
      | [services.x]\nidempotent = "maybe"               | /services/x: idempotent = 'maybe'; allowed: one of method, yes, no         |
      | [services.x.routes."/a"]\nslots = 3              | /services/x/routes/a: slots can't be set on a route                        |
      | [services.x.routes."a"]                          | /services/x/routes: 'a' is not a path that begins with /                   |
      | hosts = ["a"]                                    | /: hosts can't be set on a root; allowed on: service                       |
      | [services.x]\nhosts = ["y"]\n[services.y]        | /services/y: host 'y' belongs to /services/x already                       |
      | [regions.r.services.mapdsk]\n[services.mapdesk]  | there is no /services/mapdsk; did you mean 'mapdesk'?                      |
      | [services.x]\nslots = 1\nurgent_slots = 1        | urgent_slots = 1 (from /services/x) leaves no slot for routine             |
      | timeout_ms = 20000                               | timeout_ms = 20000 (from /) is more than max_timeout_ms = 10000 (from default) |
      | [regions.r]\nslots = 1                           | urgent_slots = 1 (from default) leaves no slot for routine requests of slots = 1 (from /regions/r) |
      | [regions.r]\nmin_limit = 11                      | min_limit = 11 (from /regions/r) is more than slots = 10 (from default)    |
      | [regions.R]                                      | /regions: 'R' is not 1 to 63 of a-z                                        |
      | x = [                                            | not TOML                                                                   |

  Scenario: The operators' reference page says what the schema says
    Then the settings reference page is current

  Scenario: Every value that the parts of a node read can be set, and names only what there is
    Then the schema has every key of a route, and the selectors and limiters of the policies

  Scenario: Every error code has its place in the incident guide
    Then the incident guide has a section for each error code and for nothing else
