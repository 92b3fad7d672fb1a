Feature: Announcements are read rarely

  Scenario Outline: A node that starts in a <fleet> reads the announcements <times>
    # A node that finds nobody must look again soon: two that start at once may miss each other. But
    # at its first read every node is alone. If it went by that, 790 nodes that start together would
    # all read the list of all again within 15 s, and callers' claims would wait behind 260 MB.
    Given an announcer whose node knows <before> before its first read and <after> from then on
    When 100 seconds pass for it
    Then it has read the announcements <least> to <most> times

    Examples:
      | fleet          | times       | before | after | least | most |
      | fleet of many  | once        | 1      | 790   | 1     | 1    |
      | fleet of one   | every 10 s  | 1      | 1     | 7     | 15   |

  Scenario: The addresses of the list are tried as soon as it is read
    # A node that starts again serves callers by what it knows itself until it has met another. Its
    # first addresses waited for up to 0.3 s, for the next tick and for the one after that.
    Given a membership that has ticked for 0.1 s without an address to try
    When it reads a list of 5 others
    Then it has sent pings to 3 of them

  Scenario Outline: A list that may be old is enough where it tells of somebody
    # A list of seconds ago is a tenth as dear. Read blindly, two nodes that start at once could both
    # miss each other. One that holds what this node has just written can't be older than that; an
    # older one is enough where somebody in it answers.
    Given an announcer whose store shows in cheap lists what is <age> s old, and whose node <hears>
    When 5 seconds pass for it
    Then it has made <cheap> cheap lists and <full> full ones
    And it has found the announcement of the node that wrote before it

    Examples:
      | age | hears          | cheap | full |
      | 0   | hears nobody   | 1     | 0    |
      | 3   | hears nobody   | 1     | 1    |
      | 3   | hears somebody | 1     | 0    |
