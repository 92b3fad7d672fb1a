Feature: A request that was given up gets its final answer at once

  Scenario: Three times as much comes as the servers can do, and one of them dies
    # Each request takes long and the deadline is far away. What can't be served in time is told so
    # on arrival, with when to come back, and is not held until its deadline.
    Given a mesh of 2 casedesk nodes
      """
      [services.casedesk]
      slots = 2
      urgent_slots = 0
      queue_limit = 4
      """
    And traffic: 30 lookups a second of casedesk for 3 s
      | key        | value |
      | service_ms | 400   |
      | timeout_ms | 8000  |
    When while traffic enters by casedesk-1
      | at  | what | whom       |
      | 1.5 | kill | casedesk-2 |
    Then every promise is kept
    And every refusal came at once and told when to come back
    And some lookups ended as completed

  Scenario: More callers come than one node can hold
    # The backend servers hang, and callers keep coming: their requests, each with its body, would
    # fill the node's memory. What is too much is refused at once; urgent requests get the last
    # places.
    Given a node whose backend servers never answer, with 8 places, of which 2 are for urgent requests
    When 10 routine and then 3 urgent requests come, and all but the refused ones wait
    Then 4 routine and 1 urgent of them were refused at once as overloaded

  Scenario: Callers open more connections than the process can spare
    # Without descriptors the node could reach neither its peers nor its backend server. The
    # connection that is one too many gets its answer before it has asked.
    Given a node whose every answer is of 60 kB
    And it takes at most 3 connections
    When 5 callers connect and then ask
    Then 3 of them get the answer, and 2 a refusal

  Scenario: Callers that a full node turns away in one moment don't come back in one moment
    # The node tells each the same, since each would have waited as long. Told on as it is, they would
    # all return together and be turned away again.
    Given the budgets of a service whose routine second tries are used up
    When 100 requests are refused with 1000 ms to come back after
    Then at least 50 different times are told, from 1000 to 1500 ms

  Scenario Outline: Another server is tried only where that can help the caller
    # A lookup waits for its answer until its deadline. What is left then, some milliseconds, is sent
    # to another server all the same: no caller gets anything by it, and a lookup under which its
    # server froze freezes a second one. What is held back is held back at every node.
    Given a lookup with time left, whose service has second tries to spare
    When its first try fails as <outcome> with the code <code>
    Then it <verdict> tried again

    Examples:
      | outcome | code           | verdict |
      | unknown | backend-failed | is      |
      | unknown | peer-lost      | is      |
      | unknown | deadline       | is not  |
      | not-run | connect-failed | is      |
      | not-run | overloaded     | is      |
      | not-run | deadline       | is      |
      | not-run | quarantined    | is not  |
