Feature: The choice of a serving node when what is known of it is wrong or old

  Scenario: A straggler without warning is avoided before its first slow answer
    # The caller sees one lookup in six take ten times longer. A server slows down at once; every
    # report of it was written while it was quick, and the next comes with the first slow answer.
    # Until then it looks as good as the others and gets its full share. A refusal by its node
    # isn't an answer of the server.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When 3 requests to "n1" stay unanswered for 80 ms while its node refuses another
    Then between 0% and 2% of 500 next routine choices fall on "n1"

  Scenario: A server that fails fast repels requests
    # The caller sees half of its lookups fail. A server returns errors after 1 ms; it is never
    # busy, so by load and latency it is the best of all, and draws ever more requests. With two
    # servers the ejection cap leaves it in the choice, so the score alone has to repel it.
    Given a predicting ingress node knows 2 serving nodes that answer in 20 ms
    When "n1" answers 10 requests with errors after 1 ms
    Then 0 serving nodes are ejected
    And between 0% and 5% of 500 next routine choices fall on "n1"

  Scenario: Many ingress nodes don't run after one report of an idle server
    # The caller sees a burst of refusals. One server reports that it is idle while the others are
    # nearly full; all 40 ingress nodes hear it and send their next request there at the same moment.
    Given 40 predicting ingress nodes heard that "n1" is idle and 9 others are nearly full
    When each of them chooses once
    Then "n1" gets between 1 and 20 of them

  Scenario: One ingress node counts what it sent since the report
    # The caller sees its requests queue at one server while others idle. Between two reports of a
    # server the ingress node goes on believing the first, and sends it everything.
    Given 1 predicting ingress nodes heard that "n1" is idle and 9 others are nearly full
    When it sends 200 requests before the next report
    Then "n1" gets between 1 and 40 of them

  Scenario: A late report doesn't replace a newer one
    # The caller is sent to a full server. Two answers overtake each other on their connections;
    # the older report, from before a burst, arrives last and makes the server look idle.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" reports 30 queued and then an older report of "n1" arrives that says idle
    Then between 0% and 2% of 500 next routine choices fall on "n1"

  Scenario: An old report counts for less than a new one
    # The caller waits behind a burst. A server reported that it was idle 2 s ago; since then other
    # ingress nodes filled it, as they filled all the others.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" reported idle 2 s ago, "n2" idle just now and the others 9 of 10 slots in use
    Then between 42% and 55% of 500 next routine choices fall on "n2"
    And between 0% and 35% of 500 next routine choices fall on "n1"

  Scenario: A server that has just started gets a growing share
    # The caller sees a slow answer after each replacement. A new server is idle, so everyone sends
    # to it at once, while its caches are empty and each execution is slow.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "new" joins and reports an uptime of 1 s
    Then between 0.1% and 8% of 500 next routine choices fall on "new"
    When the clock of the ingress node moves on by 10 s
    Then between 10% and 50% of 500 next routine choices fall on "new"

  Scenario: Ejection leaves most of a service in place
    # The caller sees every request refused or one server collapse. A shared dependency makes 4 of
    # 6 servers fail; if each failing one were ejected, the last two would get everything.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1,n2,n3,n4" answer 20 requests each with errors after 1 ms
    Then 2 serving nodes are ejected

  Scenario: Nothing is ejected while all fail alike
    # The caller sees one server collapse after the other. All fail for a cause outside of them, and
    # each ejection moves its load to the rest.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1,n2,n3,n4,n5,n6" answer 20 requests each with errors after 1 ms
    Then 0 serving nodes are ejected

  Scenario: Equal servers share the load although their smoothed times differ by chance
    # The caller waits at a busy service while some servers idle: the server with the luckiest last
    # answers is preferred by everyone.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When the nodes report 7 slots in use and service times of 15, 18, 20, 22, 25 and 28 ms
    Then each gets between 10% and 25% of 500 next choices

  Scenario: A report that promises too much isn't believed
    # The caller's requests take 200 ms at a server that reports 5 ms and no load.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" answers 10 requests after 200 ms and reports 5 ms
    Then between 0% and 2% of 500 next routine choices fall on "n1"

  Scenario: A server that hung is avoided, and tried again soon after
    # The caller waits its whole deadline at a server that answers nothing, again and again: there is
    # no answer to learn from. Later the server idles: ten requests given up at one moment were taken
    # for ten findings, and each doubled the time for which it is avoided.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When 10 requests to "n1" are given up after 5000 ms
    Then between 0% and 2% of 500 next routine choices fall on "n1"
    When the clock of the ingress node moves on by 3 s
    Then between 5% and 60% of 500 next routine choices fall on "n1"

  Scenario: The second try beside a slow one is kept for the slowest
    # The caller waits on a stalled lookup although second tries in parallel are on: they begin at
    # the 95th percentile, the budget pays for 2 in 100, and it went to requests that were nearly done.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When 95 requests are answered after 20 ms, 4 after 60 ms and 1 after 900 ms, twice
    Then a second try with a budget of 0.02 waits for 60 ms at least

  Scenario: An ejected server comes back after good answers to probes
    # Operators see a server idle for ever. It was ejected, nobody asks it, so nobody learns that
    # it has recovered. A request that must not run twice is never spent on finding out.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" answers 10 requests with errors after 1 ms
    Then 1 serving nodes are ejected
    And 60 s of bookings send 0 requests to "n1"
    And within 60 s of lookups "n1" gets its share again

  Scenario: A straggler that recovered is found again
    # Operators see one server idle for ever. Its last answer was slow, so nobody asks it, and so
    # nobody hears that it is quick again. Bookings may not be spent on trying it on purpose.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" answers 10 requests after 400 ms and reports 400 ms
    Then within 30 s of bookings "n1" gets its share again

  Scenario: A draining server gets nothing, a full one less for a while
    # The caller's request is sent to a server that must refuse it, over and over, and uses up its
    # tries. A refusal says for how long.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When "n1" refuses because it drains and "n2" refuses for 300 ms because it is full
    Then between 0% and 0% of 500 next routine choices fall on "n1"
    And between 0% and 2% of 500 next routine choices fall on "n2"
    When the clock of the ingress node moves on by 1 s
    Then between 5% and 30% of 500 next routine choices fall on "n2"

  Scenario: Urgent requests aren't steered by refusals of routine ones
    # Urgent requests of a surge all run to the one server that refused nothing yet: the others
    # refused routine work, though urgent work would start there at once.
    Given a predicting ingress node knows 6 serving nodes that answer in 20 ms
    When all but "n1" refuse routine requests for 300 ms with room for urgent ones
    Then between 5% and 35% of 500 next urgent choices fall on "n1"
    And between 45% and 80% of 500 next routine choices fall on "n1"
