Feature: A second try beside a slow first one changes nothing but the time

  Scenario: The second try brings the answer first
    # The first node hangs. After the hedge delay a second one is asked, and it answers at once. The
    # caller gets that answer, and the first try is cancelled, so its slot is free again.
    Given a dispatcher with nodes that do hang, answer 200
    When an idempotent request is dispatched
    Then the caller gets 200 from node-2
    And the try at node-1 was cancelled
    And no answer is left open

  Scenario: The caller leaves while two tries run
    # The caller closes its connection. Neither try may go on for nobody.
    Given a dispatcher with nodes that do hang, hang
    When an idempotent request is dispatched, and its caller leaves once 2 tries run
    Then the dispatch was cancelled
    And the try at node-1 was cancelled
    And the try at node-2 was cancelled

  Scenario: The caller leaves at the moment of the second try's answer
    # Both cancel the same task: the one that has an answer, and the caller that no longer wants it.
    # Taken for one, the cancellation would be lost, and an answer be sent to a closed connection.
    Given a dispatcher with nodes that do hang, answer 200
    When an idempotent request is dispatched, and its caller leaves with the second answer
    Then the dispatch was cancelled
    And the try at node-1 was cancelled
    And no answer is left open

  Scenario: The deadline passes while two tries run
    Given a dispatcher with nodes that do hang, hang
    When an idempotent request with 50 ms left is dispatched
    Then the caller gets an unknown outcome with the code deadline
    And the try at node-1 was cancelled
    And the try at node-2 was cancelled

  Scenario: The second try fails while the first one runs
    # The third node is asked in its place, without waiting for the first one.
    Given a dispatcher with nodes that do hang, lose, answer 200
    When an idempotent request is dispatched
    Then the caller gets 200 from node-3
    And the try at node-1 was cancelled

  Scenario: A large error answer gives way to a good one
    # The first node answers 500 with a body that is still streaming, so another node is asked. Left
    # open, the first answer would hold its slot at the serving node for ever.
    Given a dispatcher with nodes that do answer 500, answer 200
    When an idempotent request is dispatched
    Then the caller gets 200 from node-2
    And no answer is left open

  Scenario: Nothing but errors
    Given a dispatcher with nodes that do answer 500, answer 502, answer 503
    When an idempotent request is dispatched
    Then the caller gets 503 from node-3
    And no answer is left open

  Scenario Outline: A request that was lost with two servers is not given to a third one
    # It may have ended them, and they may take so long to end that nobody knows of it yet.
    Given a dispatcher with nodes that do <lost>, answer 200
    When an idempotent request is dispatched
    Then the caller gets an unknown outcome with the code <code>
    And 2 nodes were asked

    Examples:
      | lost                                                | code           |
      | lose, lose                                          | peer-lost      |
      | crash, crash                                        | backend-failed |
      | crash, lose                                         | backend-failed |
      | crash after 60 ms, crash after 60 ms                | backend-failed |

  Scenario: A third server is asked where the second one has refused
    # One run was lost, the other one has not begun: two are allowed.
    Given a dispatcher with nodes that do crash after 60 ms, unclaimed after 60 ms, answer 200
    When an idempotent request is dispatched
    Then the caller gets 200 from node-3

  Scenario: No second try where servers have just refused for want of room
    # More comes than the servers can do. The first try is slow as all are; a second one would take a
    # slot for which somebody else is refused.
    Given a dispatcher with nodes that do hang, answer 200
    And one of the nodes has just refused for want of room
    When an idempotent request with 50 ms left is dispatched
    Then the caller gets an unknown outcome with the code deadline
    And 1 node was asked
