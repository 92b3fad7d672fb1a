Feature: Announcements are read rarely

  Scenario Outline: A node that starts in a <fleet> reads the announcements <times>
    # A node that finds no other must reread soon, since two nodes that start at once may miss each
    # other. But at its first read every node knows only itself. If that decided the interval, 790
    # nodes that start together would all reread the full list within 15 s, and callers' claims
    # would queue behind 260 MB.
    Given an announcer whose node knows <before> before its first read and <after> from then on
    When 100 seconds pass for it
    Then it has read the announcements <least> to <most> times

    Examples:
      | fleet          | times       | before | after | least | most |
      | fleet of many  | once        | 1      | 790   | 1     | 1    |
      | fleet of one   | every 10 s  | 1      | 1     | 7     | 15   |

  Scenario: The addresses of the list are tried as soon as it is read
    # Until a restarted node has met another member it serves callers by its own view alone. If the
    # first pings waited for the next two ticks, that would take up to 0.3 s longer.
    Given a membership that has ticked for 0.1 s without a seed
    When it reads a list of 5 others
    Then it has sent pings to 3 of them

  Scenario Outline: A list that may be old is enough where it tells of somebody
    # A list that is seconds old costs a tenth of a current one. If it were always trusted, two
    # nodes that start at once could both miss each other. A list that contains this node's own
    # announcement is recent enough; an older one suffices if a node in it replies.
    Given an announcer whose store returns stale lists that are <age> s old, and whose node <hears>
    When 5 seconds pass for it
    Then it has read <cheap> stale lists and <full> current ones
    And it has found the announcement of the node that wrote before it

    Examples:
      | age | hears          | cheap | full |
      | 0   | hears nobody   | 1     | 0    |
      | 3   | hears nobody   | 1     | 1    |
      | 3   | hears somebody | 1     | 0    |

  Scenario: A node that starts during an outage is announced soon after its end
    # Guards against a node that knows nobody, and that nobody knows, for half a minute after an
    # outage, since the pauses between its attempts have grown longer than the outage.
    Given 20 nodes that start while the store fails all calls
    When the store is back after 9 seconds
    Then each of them has announced itself and read the announcements within 3 seconds
