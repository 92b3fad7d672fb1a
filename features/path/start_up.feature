Feature: In its first moments a node lets requests wait for what it is about to know

  Scenario: A request that comes before the others are known is served
    # All nodes have lost power and start again amid their traffic. A caller's request reaches one
    # that has heard of nobody yet; a tenth of a second later it has. Refused, the caller would come
    # back together with all others, and find no room.
    Given a dispatcher in its first moments that knows nobody
    When a request comes to it, and 0.1 s later news of a node
    Then it is answered by that node

  Scenario Outline: A request waits until the node has heard what is held back
    # A node has ended by a request that all others hold back, and starts again. It knows itself before
    # it knows anybody else, and ran the next such request that waited at its port.
    Given a dispatcher in its first moments that knows a node, and not what is held back
    When a request comes to it, and <later> s later news of what is held back
    Then it is answered by that node after <at least> to <at most> s

    Examples:
      | later | at least | at most |
      | 0.1   | 0.1      | 0.4     |
      | 0.9   | 0.4      | 0.8     |

  Scenario: A node that has been up for long refuses at once where nobody is known
    # The last server of a service is gone for good. Nothing is about to change, and the caller is
    # told so instead of waiting.
    Given a dispatcher that has long been up and knows nobody
    When a request comes to it, and 0.1 s later news of a node
    Then it was refused within 0.05 s as no-candidate

  Scenario: Who is not heard of within the first moments is not waited for
    Given a dispatcher in its first moments that knows nobody
    When a request comes to it, and 0.9 s later news of a node
    Then it was refused within 0.7 s as no-candidate

  Scenario: A request that has waited while the node stood still is served
    # A host stops all its processes for a second. None of them can know which settings are in force
    # until it has asked again, and all that waited was refused by the whole fleet in one moment.
    Given a callers' port that has long been up, and stood still for 1 s
    When a caller asks there, and 0.1 s later the settings come
    Then the caller gets 200

  Scenario: A node that can't know which settings are in force does not let requests wait for long
    Given a callers' port that has long been up, and stood still for 1 s
    When a caller asks there, and 0.9 s later the settings come
    Then the caller gets 503

  Scenario: A request that comes before the settings is served
    # The port is open before the store has answered. A caller's request waits the tenth of a second
    # until the settings are there, and is then handled by them.
    Given a callers' port in its first moments without settings
    When a caller asks there, and 0.1 s later the settings come
    Then the caller gets 200
