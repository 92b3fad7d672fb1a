Feature: Clients of the other ports cost a node no more than its limits

  Scenario Outline: Clients of the <protocol> protocol's <port> port send <what>
    # Guards against ports for few callers, which many others reach: each connection there takes a
    # descriptor, and memory, that the node needs for its callers and peers.
    Given nodes of the <protocol> protocol at a tenth of a machine's limits
    When 450 clients send <what> to the <port> port, for mapdesk
    Then every node lives within the limits
    And an ordinary request of each service is answered through each node
    And each node, told to stop beside such a crowd, ends within its grace

    Examples:
      | protocol | port         | what                                     |
      | own      | peers        | nothing                                  |
      | own      | peers        | heads over the limit                     |
      | own      | operators    | nothing                                  |
      | own      | operators    | heads over the limit                     |
      | own      | operators    | bodies with a length, short of their end |
      | platform | metrics      | heads over the limit                     |
      | platform | readiness    | nothing                                  |
      | platform | readiness    | heads over the limit                     |
      | platform | readiness    | requests ahead, answers unread           |
      | platform | registration | nothing                                  |
      | platform | registration | heads over the limit                     |
      | platform | registration | bodies with a length, short of their end |
