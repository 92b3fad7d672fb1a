Feature: The choice of a serving node when what is known of it is wrong or old

  Scenario: A straggler without warning is avoided before its first slow answer
    # A server slows down suddenly, and all its reports date from before; the next one arrives with
    # its first slow answer. Until then it would get its full share, and one lookup in six takes ten
    # times longer. A rejection by its node isn't an answer of the server.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When 3 requests to "n1" stay unanswered for 80 ms while its node refuses another
    Then between 0% and 2% of 500 next routine choices fall on "n1"

  Scenario: A server that fails fast repels requests
    # A server that returns errors after 1 ms is never busy, so by load and latency it looks best
    # and attracts requests; half of the lookups fail. With two servers the ejection cap keeps it in
    # the selection, so the score alone has to repel requests.
    Given a predicting ingress node knows 2 serving nodes that answer in 20 ms
    When "n1" answers 10 requests with errors after 1 ms
    Then 0 serving nodes are ejected
    And between 0% and 5% of 500 next routine choices fall on "n1"

  Scenario: Ingress nodes don't herd to one server that reports that it is idle
    # One server reports that it is idle while the others are nearly full. If all 40 ingress nodes
    # send their next request there at the same moment, callers see a burst of rejections.
    Given 40 predicting ingress nodes heard that "n1" is idle and 9 others are nearly full
    When each of them chooses once
    Then "n1" gets between 1 and 20 of them

  Scenario: One ingress node counts what it sent since the report
    # Without the count, an ingress node sends everything to the server that was idle in the latest
    # report until the next one arrives, and requests queue there while other servers idle.
    Given 1 predicting ingress nodes heard that "n1" is idle and 9 others are nearly full
    When it sends 200 requests before the next report
    Then "n1" gets between 1 and 40 of them

  Scenario: A late report doesn't replace a newer one
    # Two answers overtake each other on their connections. The older report, from before a burst,
    # arrives last and makes a full server look idle.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" reports 30 queued and then an older report of "n1" arrives that says idle
    Then between 0% and 2% of 500 next routine choices fall on "n1"

  Scenario: An old report counts for less than a new one
    # A server reported 2 s ago that it was idle. Since then other ingress nodes have filled it like
    # all the others, and requests sent there wait behind the burst.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" reported idle 2 s ago, "n2" idle just now and the others 9 of 10 slots in use
    Then between 42% and 55% of 500 next routine choices fall on "n2"
    And between 0% and 35% of 500 next routine choices fall on "n1"

  Scenario: A server that has just started gets a growing share
    # A new server is idle, so every ingress node would send to it at once while its caches are
    # empty and each execution is slow.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "new" joins and reports an uptime of 1 s
    Then between 0.1% and 8% of 500 next routine choices fall on "new"
    When the clock of the ingress node moves on by 10 s
    Then between 10% and 50% of 500 next routine choices fall on "new"

  Scenario: Ejection leaves most of a service in place
    # A shared dependency makes 4 of 6 servers fail. If all of them were ejected, the last two would
    # get the whole load.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1,n2,n3,n4" answer 20 requests each with errors after 1 ms
    Then 2 serving nodes are ejected

  Scenario: Nothing is ejected while all fail alike
    # All servers fail for an external cause. Each ejection would move its load to the rest, and one
    # server after the other would collapse.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1,n2,n3,n4,n5,n6" answer 20 requests each with errors after 1 ms
    Then 0 serving nodes are ejected

  Scenario: Equal servers share the load although their smoothed times differ by chance
    # Smoothed service times of equal servers differ by chance. If the lowest one were always
    # preferred, requests would wait there while other servers idle.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When the nodes report 7 slots in use and service times of 15, 18, 20, 22, 25 and 28 ms
    Then each gets between 10% and 25% of 500 next choices

  Scenario: A report that promises too much isn't believed
    # Requests take 200 ms at a server that reports 5 ms and no load.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" answers 10 requests after 200 ms and reports 5 ms
    Then between 0% and 2% of 500 next routine choices fall on "n1"

  Scenario: A server that hung is avoided, and tried again soon after
    # A server that hangs gives no answers to learn from, and callers wait there for their whole
    # deadline. Ten requests cancelled at the same moment count as one observation: when each of
    # them doubled the time for which the server is avoided, it stayed idle long after it had
    # recovered.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When 10 requests to "n1" are given up after 5000 ms
    Then between 0% and 2% of 500 next routine choices fall on "n1"
    When the clock of the ingress node moves on by 3 s
    Then between 5% and 60% of 500 next routine choices fall on "n1"

  Scenario: Hedges are kept for the slowest requests
    # Hedges started at the 95th percentile while the budget covers 2 in 100 requests. It was spent
    # on requests that were nearly done, and stalled ones weren't hedged.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When 95 requests are answered after 20 ms, 4 after 60 ms and 1 after 900 ms, twice
    Then a hedge with a budget of 0.02 is delayed by at least 60 ms

  Scenario: An ejected server comes back after good answers to probes
    # An ejected server gets no requests, so without probes nobody would notice that it has
    # recovered. A request that must not run twice is never used as a probe.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" answers 10 requests with errors after 1 ms
    Then 1 serving nodes are ejected
    And 60 s of bookings send 0 requests to "n1"
    And within 60 s of lookups "n1" gets its share again

  Scenario: A straggler that recovered is found again
    # After a slow answer a server gets no requests, so nobody would notice that it is fast again.
    # Bookings must not be used to explore it.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" answers 10 requests after 400 ms and reports 400 ms
    Then within 30 s of bookings "n1" gets its share again

  Scenario: A draining server gets nothing, a full one less for a while
    # Without remembering rejections, a request is sent again and again to servers that must reject
    # it, and uses up its attempts. A rejection tells for how long it holds.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" refuses because it drains and "n2" refuses for 300 ms because it is full
    Then between 0% and 0% of 500 next routine choices fall on "n1"
    And between 0% and 2% of 500 next routine choices fall on "n2"
    When the clock of the ingress node moves on by 1 s
    Then between 5% and 30% of 500 next routine choices fall on "n2"

  Scenario: Urgent requests aren't steered by refusals of routine ones
    # When all servers but one have rejected routine requests, a surge of urgent requests must not
    # go to that one: at the others urgent requests would start at once.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When all but "n1" refuse routine requests for 300 ms with room for urgent ones
    Then between 5% and 35% of 500 next urgent choices fall on "n1"
    And between 45% and 80% of 500 next routine choices fall on "n1"
