Feature: One request can be followed, and watching costs little

  Scenario: The spans of one request join over nodes, up to its caller and down to its backend server
    # A traced request enters by a node of another service. The caller's span is the parent of the
    # ingress span, which is the parent of the attempt span, which is the parent of the serving span
    # on the other node, which is sent to the backend server as the parent.
    Given a mixed mesh of 1 mapdesk and 1 licencehub nodes
      """
      [services.mapdesk]
      trace_share = 0.0
      [services.licencehub]
      trace_share = 0.0
      """
    And every backend server only records
    When a traced request of licencehub enters by mapdesk-1
    Then its spans are ingress and attempt on mapdesk-1 and serving on licencehub-2, each the child of the one before
    And the first is the child of the caller's span
    And the backend server was told the last one as its parent

  Scenario: What is sampled is decided where the trace begins
    # The caller's sampled flag overrides the trace_share setting in both directions. The root span of
    # a trace that begins at the node has no parent.
    Given a mesh of 1 mapdesk nodes
      """
      [services.mapdesk]
      trace_share = 1.0
      """
    Then a request with traceparent 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00 leaves 0 spans at mapdesk-1
    And a request with traceparent 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01 leaves 3 spans at mapdesk-1
    And a request with traceparent none leaves 3 spans at mapdesk-1
    And a request with traceparent ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00 leaves 3 spans at mapdesk-1
    And a request with traceparent 01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00-more leaves 0 spans at mapdesk-1

  Scenario: Callers that trace everything don't fill the log
    # A caller sets the sampled flag on each of its requests. A node samples at most 50 traces a
    # second and serves the other requests without a trace.
    Given a mesh of 1 mapdesk nodes
    When 400 traced lookups of mapdesk enter by mapdesk-1 at once
    Then mapdesk-1 has begun at most 50 traces a second

  Scenario: Spans go to a file where one is named
    Given a mesh of 1 mapdesk nodes
    And mapdesk-1 writes its spans to a file
    When 5 traced lookups of mapdesk enter by mapdesk-1 at once
    Then the file of mapdesk-1 has 15 spans and its log has none

  Scenario: A flood of refusals writes few lines, and loses none from the count
    # 2000 requests of an unknown host arrive without a pause, and each is rejected. The log has at
    # most ten lines a second for them, and one summary line with the count of the suppressed ones.
    Given a mesh of 1 mapdesk nodes
    When 2000 requests of an unknown host enter by mapdesk-1 without a pause
    Then mapdesk-1 wrote at most 11 lines a second of them, and counted 2000

  Scenario: Every line of the log can be read by a program
    # Bad requests, frames with a wrong key, a backend server that is killed and a graceful shutdown
    # are logged. Each line is a JSON object with event, level, timestamp and node; each rejection
    # has code, step and peer.
    Given a mesh of 2 mapdesk nodes
    When a series of failures happens at mapdesk-1
    Then every line of mapdesk-1 is JSON with event, level, timestamp and node
    And each of its rejections has code, step and peer

  Scenario: Metrics are sent in few datagrams whatever the load
    # A UDP receiver in place of statsd counts datagrams. When idle and under load a node sends a few a
    # second, each with complete statsd lines, and the counters add up to the requests made.
    Given a mesh of 1 mapdesk nodes
    And mapdesk-1 reports to a statsd sink
    When 900 lookups of mapdesk enter by mapdesk-1 in 3 s
    Then no second brought the sink more than 10 datagrams
    And the sink counted 900 completed requests

  Scenario: Nobody takes the lines of the log any more
    # The log collector stalls and then exits. A blocking write would stop the node with all its
    # requests, and an exception would fail the code that logs. Lines are dropped and counted.
    Given a log output that writes to a pipe that is not read
    When 2000 lines are written to it, and 10 more after the pipe's reader has closed
    Then the first lines can be read, and the others are counted as lost
