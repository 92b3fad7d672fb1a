Feature: A node starts, changes and stops on the platform without a caller noticing

  Scenario: A node that is stopped serves callers until they are sent elsewhere
    # The platform polls the readiness endpoint once a second and sends callers elsewhere after two
    # refusals. Until then callers still come: a node that closed its port at once would fail them.
    Given a fleet on the platform: mapdesk, mapdesk
    When node 1 is told to stop
    Then node 1 does not take callers
    And for 1 s every request through node 1 is answered 200, on connections that are closed
    And from 1.6 s after the stop signal on, the server of node 1 starts no request
    And node 1 has stopped within 6 s of the stop signal

  Scenario: What still waits when the time for a stop is over gets its final answer
    # A booking is queued for the only slot, at another node, when the node that it entered by is told
    # to stop. The store is unavailable, so the attempt to remove the node's announcement uses up the
    # grace period. Both callers must still get a response, that the outcome is unknown, before the
    # platform kills the process.
    Given a fleet on the platform with 1 slot of 4000 ms: mapdesk, licencehub
    And 2 bookings are in progress through node 2, one of which waits at node 1
    When the store goes away
    And node 2 is told to stop with a grace period of 2 s
    Then both bookings are answered 504 within 1.95 s of the stop signal
    And node 2 has stopped within 1.95 s of the stop signal

  Scenario: A node that is stopped leaves its backend server in use while others can't spare it
    # During a rolling restart, each node would leave its healthy server idle while it restarts, and
    # the remaining servers would refuse requests that the idle one could have run.
    Given a fleet on the platform: mapdesk
    When node 1 is told to stop
    Then for 1 s every request through node 1 is answered 200, on connections that are closed
    And node 1 has stopped within 6 s of the stop signal

  Scenario: A backend server that is sound serves before its next heartbeat
    # All nodes lost power and start again while their servers keep running. The next heartbeat of a
    # server comes up to one interval later, but its health check states its instance and slots.
    Given a fleet on the platform whose servers send no heartbeat: mapdesk
    When a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request
    And it ran for the instance that is registered, with less time than the client gives

  Scenario: A server that leaves is not taken for sound after a restart
    Given a fleet on the platform whose servers drain and send no heartbeat: mapdesk
    When a client asks node 1 for "/tiles/7"
    Then the client gets 503 and a retry hint
    And no server is registered at node 1

  Scenario: A changed settings file is taken up, and what can't be is named
    Given a fleet on the platform: mapdesk
    When the settings file of node 1 changes its bounds and its name
    Then node 1 applies the new bounds and logs that the name needs a restart

  Scenario: The metrics address serves counters, gauges and histograms
    Given a fleet on the platform: mapdesk
    When a client asks node 1 for "/tiles/7" 5 times
    Then the metrics of node 1 hold
      | line                                      |
      | marjoramtide_ingress_completed_total 5    |
      | marjoramtide_members 1                    |
      | marjoramtide_serving_execution_ms_count 5 |

  Scenario: What a node shows its operators of its load is what it tells other nodes
    # An operator looks for the server that its neighbours slow down. If the status page were computed
    # separately, without the slowdown, that server would look healthy.
    Given a fleet on the platform: mapdesk
    When the server of node 1 is slowed to 4 times
    Then the operators of node 1 are shown a slowdown of 4

  Scenario: A heartbeat that tells nothing new changes nothing
    # A heartbeat comes every second and a half. If each counted as a change of the settings, every
    # node would rebuild the state of its own service each time.
    Given a fleet on the platform: mapdesk
    When 3 more heartbeats of the server of node 1 arrive
    Then the settings of node 1 were put into force no further time

  Scenario: A fault in a reload does not end the watch of the settings file
    # A reload raises an unexpected exception. If that ended the task that watches the file, the
    # process would never apply a later change.
    Given a node's watch of its settings file whose first reload fails unexpectedly
    When the settings file changes twice
    Then the second change is taken up

  Scenario: A refusal tells its whole story in one line of the log
    # An engineer has only a request's id and the logs. The line names the route, the revision, and
    # each attempt with the state that was known of the chosen node.
    Given a fleet on the platform: mapdesk
    And the server of node 1 becomes instance "i-2" without registering
    When a client books through node 1
    Then the log line of such a request has the fields
      | field          |
      | code           |
      | outcome        |
      | revision       |
      | service        |
      | left_ms        |
      | tries          |
      | retry_after_ms |

  Scenario: A late answer tells which server took long, and what was believed of it
    # A caller complains of a slow response. It was a success, so without a log line nothing tells
    # which server sent it: the list of recent decisions covers only a few seconds.
    Given a fleet on the platform: mapdesk
    And the route "/tiles/" is to be answered within 1 ms, as version 9
    Then the log line of a late response has the fields
      | field     |
      | late_ms   |
      | served_ms |
      | work_ms   |
      | service   |
      | revision  |
      | tries     |
