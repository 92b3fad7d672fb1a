Feature: A request that was given up gets its final answer at once

  Scenario: Three times as much comes as the servers can do, and one of them dies
    # Each request takes long and has a late deadline. Requests that can't be served in time are
    # refused on arrival with a Retry-After, and not held until their deadlines.
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
    # The backend servers hang while more callers arrive, and their requests with their bodies would
    # fill the node's memory. Requests above the limit are refused at once; the last places are for
    # urgent requests.
    Given a node whose backend servers never answer, with 8 places, of which 2 are for urgent requests
    When 10 routine and then 3 urgent requests come, and all but the refused ones wait
    Then 4 routine and 1 urgent of them were refused at once as overloaded

  Scenario: Callers open more connections than the process can spare
    # Without free file descriptors the node could connect to neither its peers nor its backend
    # server. A connection above the limit is refused before it has sent a request.
    Given a node whose every response is 60 kB
    And it takes at most 3 connections
    When 5 callers connect and then send a request
    Then 3 of them get the response, and 2 a refusal

  Scenario: Callers that a full node turns away in one moment don't come back in one moment
    # The node rejects all of them with the same delay, since each would have waited as long.
    # Without jitter they would all return together and be rejected again.
    Given the budgets of a service whose routine retries are used up
    When 100 requests are rejected with a Retry-After of 1000 ms
    Then at least 50 different delays are returned, from 1000 to 1500 ms

  Scenario Outline: Another server is tried only where that can help the caller
    # A lookup waits for its response until its deadline, and with the few milliseconds that are
    # left it was sent to another server: no caller gets a response from that, and a lookup that
    # froze its server freezes a second one. A quarantined request is quarantined at every node.
    Given a lookup with time left, whose service has retries left
    When its first attempt fails as <outcome> with the code <code>
    Then it <verdict> retried

    Examples:
      | outcome | code           | verdict |
      | unknown | backend-failed | is      |
      | unknown | peer-lost      | is      |
      | unknown | deadline       | is not  |
      | not-run | connect-failed | is      |
      | not-run | overloaded     | is      |
      | not-run | deadline       | is      |
      | not-run | quarantined    | is not  |
