Feature: Requests sent ahead and answers unread cost a node no more than its limits

  Scenario Outline: A few clients of the <protocol> protocol send <what>
    # Guards against requests that are parsed before their turn, and answers that nobody reads.
    Given nodes of the <protocol> protocol at a tenth of a machine's limits
    When 40 clients send <what> to the callers port, for <service>
    Then every node lives within the limits
    And an ordinary request of each service is answered through each node
    And each node, told to stop beside such a crowd, ends within its grace

    Examples:
      | protocol | service    | what                                 |
      | own      | mapdesk    | requests ahead, answers unread       |
      | platform | mapdesk    | requests ahead, answers unread       |
      | own      | licencehub | requests ahead, answers unread       |
      | platform | licencehub | requests ahead, answers unread       |
      | own      | mapdesk    | large requests ahead, answers unread |
      | platform | licencehub | large requests ahead, answers unread |
      | own      | licencehub | requests for long answers, unread    |
      | platform | licencehub | requests for long answers, unread    |
