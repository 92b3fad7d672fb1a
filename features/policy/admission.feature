Feature: Admission at the serving node

  Scenario: An urgent request doesn't wait behind routine ones
    # An urgent dead-zone lookup of a dispatch driver waits because every slot and the queue are full
    # of routine work that arrived earlier.
    Given an admission with 4 slots, 1 of them urgent, and executions of 20 ms
    When 10 routine requests due in 10000 ms arrive
    Then an urgent request due in 500 ms is started
    When 2 urgent requests due in 300 ms arrive
    Then those due in 300, 300, 10000 ms start next

  Scenario: The earliest deadline starts first
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 4 routine requests due in 1000 ms arrive
    And 1 routine requests due in 400 ms arrive
    And 1 routine requests due in 200 ms arrive
    And 1 routine requests due in 300 ms arrive
    Then those due in 200, 300, 400 ms start next

  Scenario: A call that a running request waits for goes before what callers wait for
    # A registration fails although it ran: its nested call waited behind callers' requests until it
    # was given up. The run held a slot for all that time, and was wasted.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 8 routine requests due in 400 ms arrive
    And 1 call requests due in 1000 ms arrive
    Then those due in 1000, 400 ms start next

  Scenario: What can't finish in time is refused at once
    # A request waits until its deadline in a queue that could never have served it, and the caller
    # is told at the end, when it is too late to try another server.
    Given an admission with 4 slots, 0 of them urgent, and executions of 200 ms
    When 10 routine requests due in 500 ms arrive
    Then 4 run and 6 wait
    And a routine request due in 500 ms is overloaded
    And a routine request due in 900 ms is queued

  Scenario: A server that was slow once isn't refused work for ever
    # Every request is rejected although the server is idle: the last executions took longer than any
    # deadline, so nothing is admitted, and nothing can show that it is fast again.
    Given an admission with 4 slots, 0 of them urgent, and executions of 900 ms
    Then a routine request due in 50 ms is started

  Scenario: Routine work pushed behind its deadline is refused early
    # A routine caller is told only at its deadline that urgent work took its place.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 4 routine requests due in 1000 ms arrive
    And 1 routine requests due in 60 ms arrive
    And 40 urgent requests due in 500 ms arrive
    And the clock of the admission moves on by 1 ms
    Then the routine requests due in 60 ms are dropped and no others

  Scenario Outline: What waits behind others is refused as soon as it can no longer end in time
    # A caller gets no answer until its deadline, and then no retry delay.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 4 routine requests due in 1000 ms arrive
    And 1 <last> requests due in 45 ms arrive
    And 8 <others> requests due in 1000 ms arrive
    And the clock of the admission moves on by 26 ms
    Then the <last> requests due in 45 ms are dropped and no others

    Examples:
      | last    | others     |
      | routine | first-rank |
      | overdue | routine    |

  Scenario: In a surge of urgent work routine work is refused on arrival
    # Routine requests wait most of their deadline for slots that urgent requests take, and are
    # rejected when it is too late to try another server.
    Given an admission with 4 slots, 1 of them urgent, and executions of 20 ms
    When urgent requests take 19 of 20 starts for 200 starts
    And 4 urgent requests due in 1000 ms arrive
    Then a routine request due in 100 ms is overloaded
    And an urgent request due in 100 ms is queued

  Scenario: A noisy neighbour lowers the limit and its leaving raises it again
    # All requests miss their deadlines although the server completes many: a neighbour takes the
    # processor, all slots stay full and the executions share the rest.
    Given an admission with 10 slots, 1 of them urgent, and executions of 20 ms
    When 200 executions take 20 ms times the number that run
    Then the limit is between 1 and 5 and the last execution took less than 100 ms
    When 200 executions take 20 ms however many run
    Then the limit is between 10 and 10 and the last execution took less than 21 ms

  Scenario: A neighbour that slows each execution alike doesn't cost throughput
    # Requests are rejected while slots are idle: executions are slow whatever their number, the
    # limit falls to its minimum and stays there, so the server loses throughput as well as speed.
    Given an admission with 10 slots, 1 of them urgent, and executions of 20 ms
    When 400 executions take 80 ms however many run
    Then the limit is between 10 and 10 and the last execution took less than 81 ms

  Scenario: A sudden stall turns first attempts away at once
    # One lookup in ten takes ten times longer although other servers have capacity: it arrived while
    # a neighbour held the processor. A second attempt is admitted, since all servers may be slow.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 2 routine requests due in 1000 ms arrive
    And the clock of the admission moves on by 50 ms
    Then a routine request due in 1000 ms is overloaded
    And a second-attempt request due in 1000 ms is started

  Scenario: A sudden stall hands queued first attempts back
    # Lookups wait behind executions that a neighbour delays, although other servers have capacity.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 6 routine requests due in 1000 ms arrive
    And 1 second-attempt requests due in 1000 ms arrive
    And the clock of the admission moves on by 50 ms
    Then the routine requests due in 1000 ms are dropped and no others

  Scenario: Neither hanging nor failing fast is reported as quick
    # All nodes send to a server that answers nothing, or only errors, because it reports the service
    # time of its last good answer, or that of its errors.
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 10 requests are given up after 500 ms each
    And 100 requests fail after 1 ms each
    Then the reported service time is at least 300 ms and the success rate below 0.1

  Scenario: A draining server takes nothing new and drops nothing
    Given an admission with 4 slots, 0 of them urgent, and executions of 20 ms
    When 6 routine requests due in 1000 ms arrive
    And the server drains
    Then a routine request due in 500 ms is draining
    And those due in 1000, 1000 ms start next

  Scenario: The queue is bounded for each class
    Given an admission with 4 slots, 0 of them urgent, and executions of 1 ms
    When 44 routine requests due in 800 ms arrive
    Then a routine request due in 900 ms is overloaded
    And an urgent request due in 800 ms is queued
