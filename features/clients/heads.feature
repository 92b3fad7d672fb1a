Feature: Heads that go on cost a node no more than its limits

  Scenario Outline: Clients of the <protocol> protocol send <what>
    # Guards against heads that are kept, line after line, until they end or their time is over.
    Given nodes of the <protocol> protocol at a tenth of a machine's limits
    When 300 clients send <what> to the callers port, for mapdesk
    Then every node lives within the limits
    And an ordinary request of each service is answered through each node
    And each node, told to stop beside such a crowd, ends within its grace

    Examples:
      | protocol | what                 |
      | own      | heads over the limit |
      | platform | heads over the limit |
      | own      | heads without end    |
      | platform | heads without end    |
