Feature: The load tool finds broken promises and does not hide a stall

  A checker that cannot fail proves nothing. So a stand-in is told to break each promise in turn,
  and the load tool must count exactly the calls concerned.

  Scenario: An answer of another caller is found
    # The caller reads status 200 and a body of the right length, but it belongs to another request.
    # A balancer that mixed up two answers would look like this.
    Given a load-tool backend server with the fault "wrong_body" for every request
    When the load tool makes 5 lookups and 3 bookings
    Then the load tool counts 8 calls as "wrong"
    And the audit lists 8 requests as "wrong"

  Scenario: A truncated answer is never counted as whole
    # The connection closes in the middle of the body. The request ran; the caller can't use the
    # answer and must not believe that it has it.
    Given a load-tool backend server with the fault "truncate" for every request
    When the load tool makes 5 lookups and 3 bookings
    Then the load tool counts 8 calls as "unknown"

  Scenario: A booking that ran twice is found, with and without a key
    # The caller sees one proper answer. The backend server has run the booking twice: the
    # franchisee is billed twice. Lookups that ran twice are only wasted work.
    Given a load-tool backend server with the fault "run_twice" for every request
    When the load tool makes 5 lookups and 3 bookings
    Then the load tool counts 8 calls as "completed"
    And the audit lists 3 requests as "duplicates"
    And the audit counts 8 executions as wasted

  Scenario: A booking said not to have run, which ran, is found
    # The caller is told "not run" and books again elsewhere; the first booking ran all the same.
    Given a load-tool backend server with the fault "false_not_run" for every request
    When the load tool makes 5 lookups and 3 bookings
    Then the load tool counts 8 calls as "not-run"
    And the audit lists 8 requests as "false_not_run"

  Scenario: A lost answer is unknown, not "not run"
    # The booking ran and the connection closed before the answer. Nothing that the caller sees
    # tells whether it ran, and the tool must not guess.
    Given a load-tool backend server with the fault "close_before_answer" for every booking
    When the load tool makes 0 lookups and 3 bookings
    Then the load tool counts 3 calls as "unknown"
    And the audit finds no broken promise

  Scenario: The load tool never sends a request twice by itself
    # The first lookup leaves a kept connection. The second is run, and the connection breaks before
    # its answer: a client library that sends it again would hide the loss and blame the balancer.
    Given a load-tool backend server that loses every answer after the first
    When the load tool makes two lookups over one connection
    Then the second lookup ran once and is "unknown"

  Scenario: Every planned call is sent while the server stalls
    # The server accepts and answers nothing. A tool that waits for answers would send a handful and
    # leave the stall out of its percentiles; this one sends the whole plan regardless.
    Given a load-tool backend server that is frozen
    When the load tool plays 40 lookups and the server thaws when all have arrived
    Then the load tool counts 40 calls as "completed"
    And every latency spans from the planned time to the thaw

  Scenario: A late start of the load tool counts against the latency
    # The tool's own process is held up for two seconds. The callers it stands for would have sent on
    # time, so their latency counts from the plan.
    Given an open loop on a manual clock with a call planned every 0.1 s for 1 s
    When the clock jumps by 2 s at once and every answer takes no time
    Then the latencies counted are the 2 s less each planned time
