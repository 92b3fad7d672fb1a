Feature: Operators check files before they use them

  Scenario Outline: Files are checked without a node
    Given the operators' file tree.toml holds
      """
      [services.mapdesk]
      """
    And the operators' file node.toml holds
      """
      service = "mapdesk"
      region = "viti-west"
      data_centre = "nadi-hall"
      callers = "127.0.0.1:8000"
      peers = "127.0.0.1:7000"
      gossip = "127.0.0.1:7001"
      operators = "127.0.0.1:7002"
      backend = "127.0.0.1:9000"
      store = "http://127.0.0.1:7300"
      key = "0123456789abcdef"
      """
    And in node.toml "<old>" is replaced by "<new>"
    Then the command "check node.toml" ends with <status> and prints "<words>"
    And the command "check tree.toml" ends with 0 and prints "settings tree is right"

    Examples:
      | old            | new              | status | words                                          |
      | nadi-hall      | lautoka-hall     | 0      | node file is right                             |
      | 127.0.0.1:8000 | localhost:8000   | 3      | callers = 'localhost:8000' is not IP:PORT      |
      | callers        | caller           | 3      | unknown key 'caller'; did you mean 'callers'?  |
      | callers        | caller           | 3      | callers is missing                             |
      | 0123456789     | 0                | 3      | key: at least 16 characters                    |
      | "nadi-hall"    | 7                | 3      | data_centre = 7; allowed: a string             |
      | nadi-hall      | Nadi             | 3      | data_centre = 'Nadi'; allowed: 1 to 63 of a-z  |
      | http://        | ftp://           | 3      | store = 'ftp://127.0.0.1:7300'; allowed: a URL |
