Feature: A node starts, changes and stops on the platform without a caller noticing

  Scenario: A node that is stopped serves callers until they are sent elsewhere
    # The platform asks for readiness once a second and sends callers elsewhere after two refusals.
    # Until then they come here: a node that closed its port at once would cut them off.
    Given a fleet on the platform: mapdesk, mapdesk
    When node 1 is told to stop
    Then node 1 does not take callers
    And for 1 s every request through node 1 is answered 200, on connections that are closed
    And from 1.6 s after being told on, the server of node 1 runs nothing new
    And node 1 has ended within 6 s of being told

  Scenario: What still waits when the time for a stop is over gets its final answer
    # A booking waits for the only slot, at another node, when the node that it came by is told to
    # stop. The store is away, so that the node can't take its announcement back, which takes what is
    # left of its time. Its caller, and that of the booking before it, are answered all the same,
    # before the platform ends the process: what became of them is unknown.
    Given a fleet on the platform with 1 slot of 4000 ms: mapdesk, licencehub
    And 2 bookings are in progress through node 2, one of which waits at node 1
    When the store goes away
    And node 2 is told to stop, with 2 s for it
    Then both bookings are answered 504 within 1.95 s of being told
    And node 2 has ended within 1.95 s of being told

  Scenario: A node that is stopped leaves its backend server in use while others can't spare it
    # Nodes are stopped in turn, and each leaves its sound server idle for as long as its own restart
    # takes. The servers that are left refuse what these could have run.
    Given a fleet on the platform: mapdesk
    When node 1 is told to stop
    Then for 1 s every request through node 1 is answered 200, on connections that are closed
    And node 1 has ended within 6 s of being told

  Scenario: A backend server that is sound serves before its next heartbeat
    # All nodes lost power and start again. Their servers serve on, and the next heartbeat of each
    # comes up to an interval later. Its health states who it is and how many slots it has.
    Given a fleet on the platform whose servers send no heartbeat: mapdesk
    When a client asks node 1 for "/tiles/7"
    Then the client gets 200 with the seal and the whole body of its own request
    And it ran for the instance that is registered, with less time than the client gives

  Scenario: A server that leaves is not taken for sound after a restart
    Given a fleet on the platform whose servers leave and send no heartbeat: mapdesk
    When a client asks node 1 for "/tiles/7"
    Then the client gets 503 and a retry hint
    And no server is registered at node 1

  Scenario: A changed settings file is taken up, and what can't be is named
    Given a fleet on the platform: mapdesk
    When the settings file of node 1 changes its bounds and its name
    Then node 1 goes by the new bounds and logs that the name waits for a restart

  Scenario: The metrics address serves counters, gauges and histograms
    Given a fleet on the platform: mapdesk
    When a client asks node 1 for "/tiles/7" 5 times
    Then the metrics of node 1 hold
      | line                                      |
      | marjoramtide_ingress_completed_total 5    |
      | marjoramtide_members 1                    |
      | marjoramtide_serving_execution_ms_count 5 |

  Scenario: What a node shows its operators of its load is what it tells other nodes
    # An operator looks for the server that its neighbours slow down. A page of its own that leaves
    # the slowdown out shows a sound server.
    Given a fleet on the platform: mapdesk
    When the server of node 1 is slowed to 4 times
    Then the operators of node 1 are shown a slowdown of 4

  Scenario: A heartbeat that tells nothing new changes nothing
    # A heartbeat comes every second and a half. Taken for a change of the settings, each would
    # rebuild what a node has of its own service, at every node, for as long as it runs.
    Given a fleet on the platform: mapdesk
    When 3 more heartbeats of the server of node 1 arrive
    Then the settings of node 1 were put into force no further time

  Scenario: A fault in a reload does not end the watch of the settings file
    # A reload meets a fault of ours. The task that looks at the file ends, and no later change is
    # taken up for as long as the process lives.
    Given a node's watch of its settings file whose first reload fails unexpectedly
    When the settings file changes twice
    Then the second change is taken up

  Scenario: A refusal tells its whole story in one line of the log
    # An engineer has a request's id and the logs, nothing else. The line names the route, the
    # revision, and each try with what was believed of the node that was asked.
    Given a fleet on the platform: mapdesk
    And the server of node 1 becomes instance "i-2" without registering
    When a client books through node 1
    Then the log tells of that request with the fields
      | field          |
      | code           |
      | outcome        |
      | revision       |
      | service        |
      | left_ms        |
      | tries          |
      | retry_after_ms |

  Scenario: A late answer tells which server took long, and what was believed of it
    # A caller complains of slowness. The answer was a success: without a line of its own nothing
    # tells which server gave it, and the last decisions are forgotten within seconds.
    Given a fleet on the platform: mapdesk
    And the route "/tiles/" is to be answered within 1 ms, as version 9
    Then the log tells of a late answer with the fields
      | field     |
      | late_ms   |
      | served_ms |
      | work_ms   |
      | service   |
      | revision  |
      | tries     |
