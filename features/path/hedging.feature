Feature: A hedge beside a slow first attempt changes nothing but the response time

  Scenario: The second try brings the answer first
    # The first node hangs. After the hedge delay the request is sent to a second one, which
    # responds at once. The caller gets that response, and the first attempt is cancelled to free
    # its slot.
    Given a dispatcher with nodes that do hang, answer 200
    When an idempotent request is dispatched
    Then the caller gets 200 from node-2
    And the attempt at node-1 was cancelled
    And no response is left open

  Scenario: The caller leaves while two tries run
    # The caller closes its connection. Neither attempt may continue without a caller.
    Given a dispatcher with nodes that do hang, hang
    When an idempotent request is dispatched, and its caller disconnects once 2 attempts run
    Then the dispatch was cancelled
    And the attempt at node-1 was cancelled
    And the attempt at node-2 was cancelled

  Scenario: The caller leaves at the moment of the second try's answer
    # The attempt that has a response and the caller that left cancel the same task. If the two
    # cancellations were taken for one, the caller's would be lost, and a response would be sent to
    # a closed connection.
    Given a dispatcher with nodes that do hang, answer 200
    When an idempotent request is dispatched, and its caller disconnects at the second response
    Then the dispatch was cancelled
    And the attempt at node-1 was cancelled
    And no response is left open

  Scenario: The deadline passes while two tries run
    Given a dispatcher with nodes that do hang, hang
    When an idempotent request with 50 ms left is dispatched
    Then the caller gets an unknown outcome with the code deadline
    And the attempt at node-1 was cancelled
    And the attempt at node-2 was cancelled

  Scenario: The second try fails while the first one runs
    # The request is sent to the third node instead, without waiting for the first one.
    Given a dispatcher with nodes that do hang, lose, answer 200
    When an idempotent request is dispatched
    Then the caller gets 200 from node-3
    And the attempt at node-1 was cancelled

  Scenario: A large error answer gives way to a good one
    # The first node responds with 500 and a body that is still streaming, so another node is tried.
    # If the first response stayed open, it would hold its slot at the serving node forever.
    Given a dispatcher with nodes that do answer 500, answer 200
    When an idempotent request is dispatched
    Then the caller gets 200 from node-2
    And no response is left open

  Scenario: Nothing but errors
    Given a dispatcher with nodes that do answer 500, answer 502, answer 503
    When an idempotent request is dispatched
    Then the caller gets 503 from node-3
    And no response is left open

  Scenario Outline: A request that was lost with two servers is not given to a third one
    # It may have crashed them, and a crash may take so long that no node knows of it yet.
    Given a dispatcher with nodes that do <lost>, answer 200
    When an idempotent request is dispatched
    Then the caller gets an unknown outcome with the code <code>
    And 2 nodes got the request

    Examples:
      | lost                                                | code           |
      | lose, lose                                          | peer-lost      |
      | crash, crash                                        | backend-failed |
      | crash, lose                                         | backend-failed |
      | crash after 60 ms, crash after 60 ms                | backend-failed |

  Scenario: A third server is asked where the second one has refused
    # One run was lost and the other one never began, while two lost runs are allowed.
    Given a dispatcher with nodes that do crash after 60 ms, unclaimed after 60 ms, answer 200
    When an idempotent request is dispatched
    Then the caller gets 200 from node-3

  Scenario: No second try where servers have just refused for want of room
    # The servers are overloaded. The first attempt is as slow as all others; a hedge would occupy a
    # slot for which another request is rejected.
    Given a dispatcher with nodes that do hang, answer 200
    And one of the nodes has just rejected a request as overloaded
    When an idempotent request with 50 ms left is dispatched
    Then the caller gets an unknown outcome with the code deadline
    And 1 node got the request
