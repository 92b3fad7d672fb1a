Feature: In its first moments a node lets requests wait for what it is about to know

  Scenario: A request that comes before the others are known is served
    # All nodes have lost power and restart under traffic. A caller's request reaches a node that
    # knows no other nodes yet, but does a tenth of a second later. If it were refused, the caller
    # would retry at the same time as all others and be rejected as overloaded.
    Given a dispatcher in its grace period that knows no other nodes
    When a request comes to it, and 0.1 s later it learns of a node
    Then it is answered by that node

  Scenario Outline: A request waits until the node has heard what is held back
    # A request that all other nodes have quarantined crashed a node, which restarts. It knows
    # itself before it knows any other node, and ran the next such request that waited at its port.
    Given a dispatcher in its grace period that knows a node, but not which requests are quarantined
    When a request comes to it, and <later> s later it learns of the quarantine
    Then it is answered by that node after <at least> to <at most> s

    Examples:
      | later | at least | at most |
      | 0.1   | 0.1      | 0.4     |
      | 0.9   | 0.4      | 0.8     |

  Scenario: A node that has been up for long refuses at once where nobody is known
    # The last server of a service is gone for good. No change is imminent, so the caller is refused
    # at once instead of waiting.
    Given a dispatcher that has long been up and knows no other nodes
    When a request comes to it, and 0.1 s later it learns of a node
    Then it was refused within 0.05 s as no-candidate

  Scenario: A request does not wait for members beyond the grace period
    Given a dispatcher in its grace period that knows no other nodes
    When a request comes to it, and 0.9 s later it learns of a node
    Then it was refused within 0.7 s as no-candidate

  Scenario: A request that has waited while the node stood still is served
    # A host freezes all its processes for a second. None of them can know which settings are in
    # force until it has asked again, and the whole fleet refused all waiting requests at one
    # moment.
    Given a callers' port that has long been up, and was frozen for 1 s
    When a caller sends a request there, and 0.1 s later the settings arrive
    Then the caller gets 200

  Scenario: A node that can't know which settings are in force does not let requests wait for long
    Given a callers' port that has long been up, and was frozen for 1 s
    When a caller sends a request there, and 0.9 s later the settings arrive
    Then the caller gets 503

  Scenario: A request that comes before the settings is served
    # The port is open before the store has responded. A caller's request waits a tenth of a second
    # for the settings, and is then handled according to them.
    Given a callers' port in its grace period without settings
    When a caller sends a request there, and 0.1 s later the settings arrive
    Then the caller gets 200
