Feature: Budgets of second tries, of measuring, and of returning callers

  Scenario: A retry storm can't feed itself
    # A failure outlasts its cause: each request is tried three times, and the threefold load keeps
    # the servers failing. Tokens must not have accumulated over a quiet day before.
    Given a retry budget with a share of 0.1 after an hour of 100 requests a second
    When each of 100 requests a second wants 2 retries for 60 s
    Then at most 15% as many retries as requests are granted
    And the first request of a node may be retried, and the next after a minute

  Scenario: What all nodes have saved up does not break the bound of the whole fleet
    # After some quiet seconds every server rejects half of its requests. Each node first spends the
    # tokens it has accumulated, and then those it receives: together twice their parts, and the
    # service gets more second attempts than allowed.
    Given 60 nodes that share 0.2 second tries for each request and 16 a second besides
    When 590 requests a second come to them for 15 s, and all fail from then on for 10 s
    Then in no 10 s more than 55 in 100 of what all may send is sent

  Scenario: A node of a small fleet may retry though its service has little traffic
    # Guards against shared budgets that never reach a whole retry where requests are few.
    Given 3 nodes that share 0.2 second tries for each request and 6 a second besides
    When one request comes to each of them 6 s after its start, and fails 2 s later
    Then each of them may retry it once

  Scenario: What the nodes of a small fleet have saved up stays within what all may send
    # Guards against nodes that save up more retries than the whole fleet is allowed.
    Given 3 nodes that share 0.2 second tries for each request and 6 a second besides
    When 30 requests a second come to them for 60 s, and all fail from then on for 10 s
    Then in no 10 s more than 77 in 100 of what all may send is sent

  Scenario: A change of other settings grants no new retries
    # Guards against budgets that start anew with each of many changes of the settings.
    Given 3 nodes that share 0.2 second tries for each request and 6 a second besides
    When each of them uses up its retries after 9 s, and another setting changes
    Then none of them may retry

  Scenario: Refused callers don't return at the same moment
    # Callers that are rejected together retry together and are rejected again: the service alternates
    # between idle and overloaded.
    Given 200 callers are rejected at the same moment by a service of 100 responses a second
    Then at most 30 of them retry within any tenth of a second
    And all of them are told to retry within 5 s

  Scenario: Callers that a node refuses before it knows anybody come back soon
    # All nodes lose power and restart. In their first moments they know no server of a service and
    # reject its requests, and callers that could be served half a second later are told to retry
    # after many seconds, each later than the one before.
    Given 30 callers are rejected by a node that knows no server and has seen no response
    Then all of them are told to retry within 0.5 s

  Scenario: Measuring stays within its budget and follows the traffic
    # A small pool loses capacity to health checks: each read occupies a slot that requests need.
    Given a health check budget of 1 read a second and 0.005 of 10 slots
    Then with failures and reads of 5 ms it reads between 50 and 60 times in 60 s
    And with traffic and reads of 5 ms it reads between 10 and 31 times in 60 s
    And with no traffic and reads of 5 ms it reads between 20 and 40 times in 60 s
    And with executions of 200 ms and reads of 5 ms it reads between 10 and 17 times in 60 s
    And a failed request brings the next read forward to 1 s after the last
    And with failures and reads of 2000 ms it reads between 2 and 4 times in 120 s

  Scenario: Where a read takes no slot, long executions don't make reads rare
    # Half of the requests start on servers that are slowed down by neighbours. Executions take two
    # seconds there, reads are counted as if each took as long, and the known slowdown of a server is
    # 400 ms old while it changes every 200 ms.
    Given reads of 1 ms from a server of 5 slots whose executions take 2000 ms
    Then with a share of 1 there is one every 400 ms, and with 100 one every 25 ms
