Feature: A caller that reads slowly, or not at all

  Scenario: A node stops while a caller is still reading
    # The last responses have been produced, but remain in the node's buffers since the caller reads
    # slowly. If the node exited now, they would be truncated.
    Given a node whose every response is 60 kB
    And a caller that has sent 500 requests on one connection and reads nothing
    When the node is stopped, and the caller reads after 3 s
    Then each response that the caller gets is complete

  Scenario: A caller that sends requests and reads nothing is let go
    # Its requests are completed, so their deadlines no longer apply, and it is not idle either.
    # With enough such callers the process has no file descriptors left for any other.
    Given a node whose every response is 60 kB
    And it disconnects callers that read nothing for 0.1 s
    And a caller that has sent 500 requests on one connection and reads nothing
    Then the node has closed the connection of that caller
