Feature: Empty lines without end cost a node no more than its limits

  Scenario Outline: Clients of the <protocol> protocol send <what>
    # Guards against bytes that belong to no request, and so are bounded by no request's limits.
    Given nodes of the <protocol> protocol at a tenth of a machine's limits
    When 300 clients send <what> to the callers port, for mapdesk
    Then every node lives within the limits
    And an ordinary request of each service is answered through each node
    And each node, told to stop beside such a crowd, ends within its grace

    Examples:
      | protocol | what                         |
      | own      | empty lines before a request |
      | platform | empty lines before a request |
      | own      | empty lines after a request  |
      | platform | empty lines after a request  |
