Feature: Bodies of any framing that do not end cost a node no more than its limits

  Scenario Outline: Clients of the <protocol> protocol send <what>
    # Guards against bodies, or trailers, that each connection keeps within a bound
    # of its own, which times the number of connections is more than the machine has.
    Given nodes of the <protocol> protocol at a tenth of a machine's limits
    When 300 clients send <what> to the callers port, for <service>
    Then every node lives within the limits
    And an ordinary request of each service is answered through each node
    And each node, told to stop beside such a crowd, ends within its grace

    Examples:
      | protocol | service    | what                                                       |
      | own      | mapdesk    | bodies with a length, short of their end                   |
      | platform | licencehub | bodies with a length, short of their end                   |
      | own      | licencehub | bodies below the size that is streamed, short of their end |
      | platform | mapdesk    | bodies below the size that is streamed, short of their end |
      | own      | mapdesk    | a chunk extension without end                              |
      | platform | mapdesk    | a chunk extension without end                              |
      | own      | mapdesk    | trailers without end                                       |
      | platform | mapdesk    | trailers without end                                       |
