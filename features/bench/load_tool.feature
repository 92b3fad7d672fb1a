Feature: The load tool finds broken promises and does not hide a stall

  The checks of the load tool are tested by fault injection: a stand-in violates each guarantee in
  turn, and the load tool must count exactly the affected calls.

  Scenario: An answer of another caller is found
    # The response has status 200 and a body of the right length that belongs to another request, as
    # if a load balancer had swapped two responses.
    Given a load-tool backend server with the fault "wrong_body" for every request
    When the load tool makes 5 lookups and 3 bookings
    Then the load tool counts 8 calls as "wrong"
    And the audit lists 8 requests as "wrong"

  Scenario: A truncated answer is never counted as whole
    # The connection closes in the middle of the body. The request ran, but its response is
    # incomplete and must not count as completed.
    Given a load-tool backend server with the fault "truncate" for every request
    When the load tool makes 5 lookups and 3 bookings
    Then the load tool counts 8 calls as "unknown"

  Scenario: A booking that ran twice is found, with and without a key
    # The caller sees one valid response, but the backend server has run the booking twice and the
    # franchisee is billed twice. Lookups that ran twice are only wasted work.
    Given a load-tool backend server with the fault "run_twice" for every request
    When the load tool makes 5 lookups and 3 bookings
    Then the load tool counts 8 calls as "completed"
    And the audit lists 3 requests as "duplicates"
    And the audit counts 8 executions as wasted

  Scenario: A booking said not to have run, which ran, is found
    # The response says "not run", so the caller books again elsewhere, although the first booking ran.
    Given a load-tool backend server with the fault "false_not_run" for every request
    When the load tool makes 5 lookups and 3 bookings
    Then the load tool counts 8 calls as "not-run"
    And the audit lists 8 requests as "false_not_run"

  Scenario: A lost answer is unknown, not "not run"
    # The booking ran and the connection closed before the response. The caller can't know whether it
    # ran, and the load tool must not guess.
    Given a load-tool backend server with the fault "close_before_answer" for every booking
    When the load tool makes 0 lookups and 3 bookings
    Then the load tool counts 3 calls as "unknown"
    And the audit finds no violation

  Scenario: The load tool never sends a request twice by itself
    # The first lookup leaves a persistent connection. The second one runs, and the connection breaks
    # before its response. A client library that retries it would hide the loss, and the load
    # balancer would be blamed for the second execution.
    Given a load-tool backend server that loses every response after the first
    When the load tool makes two lookups over one connection
    Then the second lookup ran once and is "unknown"

  Scenario: Every planned call is sent while the server stalls
    # The server accepts requests and sends no response. A tool that waits for responses would send
    # only a few and omit the stall from its percentiles; this one sends all planned calls.
    Given a load-tool backend server that is frozen
    When the load tool plays 40 lookups and the server thaws when all have arrived
    Then the load tool counts 40 calls as "completed"
    And every latency spans from the planned time to the thaw

  Scenario: A late start of the load tool counts against the latency
    # The tool's own process is delayed by two seconds. Real callers would have sent on time, so the
    # latency counts from the planned times.
    Given an open loop on a manual clock with a call planned every 0.1 s for 1 s
    When the clock jumps by 2 s at once and every response takes no time
    Then the latencies counted are the 2 s less each planned time
