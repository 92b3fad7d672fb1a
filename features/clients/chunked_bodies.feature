Feature: Chunked bodies that stop short of their end cost a node no more than its limits

  Scenario Outline: Clients of the <protocol> protocol send <what>
    # Guards against bodies, or objects of their pieces, that each connection keeps within a bound
    # of its own, which times the number of connections is more than the machine has.
    Given nodes of the <protocol> protocol at a tenth of a machine's limits
    When 300 clients send <what> to the callers port, for <service>
    Then every node lives within the limits
    And an ordinary request of each service is answered through each node
    And each node, told to stop beside such a crowd, ends within its grace

    Examples:
      | protocol | service    | what                                            |
      | own      | mapdesk    | bodies in large chunks, short of their end      |
      | platform | mapdesk    | bodies in large chunks, short of their end      |
      | own      | licencehub | bodies in large chunks, short of their end      |
      | platform | licencehub | bodies in large chunks, short of their end      |
      | own      | mapdesk    | bodies in very small chunks, short of their end |
      | platform | mapdesk    | bodies in very small chunks, short of their end |
      | own      | licencehub | bodies in very small chunks, short of their end |
      | platform | licencehub | bodies in very small chunks, short of their end |

  Scenario Outline: Clients of the <protocol> protocol send bodies in pieces of one byte over a hop
    # Guards against pieces that are sent on and kept one by one, each far larger than its byte.
    Given nodes of the <protocol> protocol at a tenth of a machine's limits
    When 40 clients send bodies in pieces of one byte to the callers port, for licencehub
    Then every node lives within the limits
    And an ordinary request of each service is answered through each node
    And each node, told to stop beside such a crowd, ends within its grace

    Examples:
      | protocol |
      | own      |
      | platform |
