Feature: A caller that reads slowly, or not at all

  Scenario: A node stops while a caller is still reading
    # Its last answers are given, but stand in the node's buffers, since the caller reads slowly. A
    # node that exited now would cut them off amid the body.
    Given a node whose every answer is of 60 kB
    And a caller that has sent 500 requests on one connection and reads nothing
    When the node is stopped, and the caller reads after 3 s
    Then each answer that the caller gets is whole

  Scenario: A caller that sends requests and reads nothing is let go
    # Its answers are given, so no deadline runs any more, and it is not idle either. Enough such
    # callers, and the process has no file descriptor left for anybody else.
    Given a node whose every answer is of 60 kB
    And it lets callers go that read nothing for 0.1 s
    And a caller that has sent 500 requests on one connection and reads nothing
    Then the node has ended the connection of that caller
