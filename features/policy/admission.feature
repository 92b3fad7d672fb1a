Feature: Admission at the serving node

  Scenario: An urgent request doesn't wait behind routine ones
    # A dispatch driver waits on a dead-zone lookup during a cyclone warning: every slot and the
    # queue are full of routine work that came first.
    Given an admission with 4 slots, 1 of them urgent, and executions of 20 ms
    When 10 routine requests and then 1 urgent request arrive
    Then the urgent request starts at once
    And of 2 more urgent requests both are queued and start before any queued routine request

  Scenario: The earliest deadline starts first
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 4 requests run and requests due in 400, 200 and 300 ms wait
    Then they start in the order 200, 300, 400

  Scenario: What can't finish in time is refused at once
    # The caller waits its whole deadline in a queue that could never have served it, and hears of
    # it only at the end, when it is too late to go elsewhere.
    Given an admission with 4 slots, 0 of them urgent, and executions of 200 ms
    When 20 requests due in 500 ms arrive
    Then 4 run, 6 wait and 10 were refused as "overloaded" with a time to come back
    And a request due in 900 ms is queued

  Scenario: A server that was slow once isn't refused work for ever
    # Every request is refused although the server is idle: the last executions took longer than any
    # deadline, so nothing is let in, and nothing can show that it is quick again.
    Given an admission with 4 slots, 0 of them urgent, and executions of 900 ms
    Then with nothing running a request due in 50 ms starts

  Scenario: Routine work pushed behind its deadline is refused early
    # A routine caller hears only at its deadline that urgent work took its place.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 4 routine requests run, 1 routine request due in 60 ms waits and 40 urgent ones arrive
    Then the waiting routine request is dropped 1 ms later

  Scenario: In a surge of urgent work routine work is refused on arrival
    # Routine callers wait most of their deadline for a slot that the next urgent request takes, and
    # hear of it when it is too late to go elsewhere.
    Given an admission with 4 slots, 1 of them urgent, and executions of 20 ms
    When urgent requests take 19 of 20 starts for 200 starts and 4 requests run
    Then a request due in 100 ms is refused as "overloaded" with a time to come back
    And an urgent request is queued

  Scenario: A noisy neighbour lowers the limit and its leaving raises it again
    # All requests miss their deadlines although the server completes many: a neighbour takes the
    # processor, all slots stay full and each execution shares what is left.
    Given an admission with 10 slots, 1 of them urgent, and executions of 20 ms
    When executions that run together share a tenth of the processor for 200 completions
    Then the limit falls below 6 and executions take less than half as long
    And the limit is 10 again after 200 completions with the processor back

  Scenario: A neighbour that slows each execution alike doesn't cost throughput
    # Requests are refused while slots idle: executions are slow whatever their number, the limit
    # falls to its minimum and stays, so the server loses its throughput on top of its speed.
    Given an admission with 10 slots, 1 of them urgent, and executions of 20 ms
    When each execution takes 80 ms however many run, for 400 completions
    Then the limit is 10 again

  Scenario: A sudden stall turns first attempts away at once
    # One lookup in ten takes ten times longer although others have room: it arrived in the moment
    # in which a neighbour held the processor. A second attempt is taken, since then all may be slow.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 2 requests run for 50 ms without an answer
    Then a first attempt is refused as "overloaded" with a time to come back
    And a second attempt starts

  Scenario: A sudden stall hands queued first attempts back
    # Lookups wait behind executions that a neighbour holds up, although other servers have room.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 4 requests run and 3 wait for 50 ms without an answer, 1 of them a second attempt
    Then the 2 first attempts are dropped and the second attempt still waits

  Scenario: Neither hanging nor failing fast is reported as quick
    # Everyone sends to a server that answers nothing, or only errors: the time it reports is that of
    # its last good answer, or that of its errors.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 10 requests are given up after 500 ms each
    Then the reported service time is at least 300 ms
    When 100 requests fail after 1 ms each
    Then the reported service time is at least 300 ms
    And the reported success rate is below 0.1

  Scenario: A draining server takes nothing new and drops nothing
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 6 requests due in 1000 ms arrive and the server drains
    Then a request due in 500 ms is refused as "draining" with a time to come back
    And all 6 requests run to their end

  Scenario: The queue is bounded for each class
    Given an admission with 4 slots, 0 of them urgent, and executions of 1 ms
    When 4 requests run and 40 routine requests wait
    Then a request due in 900 ms is refused as "overloaded" with a time to come back
    And an urgent request is queued
