Feature: A request with an idempotency key runs at most once
  A caller that lost a response retries its request with the same key, through any node. Each
  scenario makes the store, a node or the network between them fail, and checks which attempts run.

  Scenario: Two nodes race with one key
    The first attempt and a retry arrive at two nodes at the same time, for fifty keys. Both nodes
    ask the store concurrently; its conditional create lets one of them win.
    Given two nodes with claims
    When both nodes claim each of 50 keys at once
    Then each key is held by exactly one of them
    And the other attempts met a conflict "in-progress"

  Scenario: The answer of the claim's write is lost
    The store has the claim, but the node does not know. Dispatching anyway could run the request
    twice; refusing would leave a claim that no attempt can use.
    Given two nodes with claims
    When the store loses the answer to the claim's write
    And node A claims "booking-1"
    Then node A's result is "held"
    And node B's claim of "booking-1" is "conflict"

  Scenario: The answer that is lost said that another node was first
    Given two nodes with claims
    And node B has claimed "booking-1"
    When the store loses the answer to the claim's write
    And node A claims "booking-1"
    Then node A's result is "conflict"

  Scenario Outline: The store is down when the claim is asked for
    Without the store a node can't know whether another one ran the request. It is refused
    immediately, as not run and with a retry time, unless the route's settings say otherwise.
    Given two nodes with claims
    And the route's claims_when_store_down is "<setting>"
    When the store goes down by "<mode>"
    And node A claims "booking-1"
    Then node A's result is "<result>"
    And a refusal has a retry time

    Examples:
      | setting | mode   | result         |
      | refuse  | refuse | unavailable    |
      | refuse  | drop   | unavailable    |
      | refuse  | hang   | unavailable    |
      | run     | refuse | held-unclaimed |
      | run     | hang   | held-unclaimed |

  Scenario Outline: The claim of a refused attempt takes effect late
    The connection breaks, the node refuses the request as not run, and the write of the claim
    arrives later, before or after the node frees the key. The caller was told to retry: the retry
    must neither find the key held although nothing runs, nor run concurrently with another attempt.
    Given two nodes with claims
    When the store delays every write and node A claims "booking-1"
    Then node A's result is "unavailable"
    When the delayed writes arrive <order> node A flushes its claims
    Then node B's claim of "booking-1" is "held"
    And node A's claim of "booking-1" is "conflict"

    Examples:
      | order  |
      | before |
      | after  |

  Scenario: A stale read while a key is being freed
    The claim of a refused attempt has taken effect. The node that frees the key gets a conflict, but
    the read after it returns no object.
    Given two nodes with claims
    When the store delays every write and node A claims "booking-1"
    And the next 1 reads of claims are stale
    And the delayed writes arrive before node A flushes its claims
    Then node B's claim of "booking-1" is "held"

  Scenario: A late take-over of a released claim
    A key was released. Node A's update that takes it over is delayed, A refuses the request, and
    the update arrives after A has freed the key.
    Given two nodes with claims
    And node B has claimed and released "booking-1"
    When the store delays every update and node A claims "booking-1"
    Then node A's result is "unavailable"
    When the delayed writes arrive after node A flushes its claims
    Then node B's claim of "booking-1" is "held"

  Scenario: An attempt is cancelled while its claim is on the way
    The caller disconnects during the write of the claim. Nothing waits for its response. The
    store executes the write once it is up again.
    Given two nodes with claims
    When node A's claim of "booking-1" is cancelled while the store hangs
    And the store comes back and node A flushes its claims
    Then node B's claim of "booking-1" is "held"

  Scenario: The store goes down between the claim and its record
    The request ran and its response went to the caller, but the store does not have the outcome. A
    retry must neither run nor be refused as "not run".
    Given two nodes with claims
    And node A has claimed "booking-1"
    When the store goes down by "refuse"
    And node A records "booking-1" as completed with the body "booked"
    Then the record has not reached the store
    And node A's claim of "booking-1" is "recorded"
    And node B's claim of "booking-1" is "unavailable"
    When the store goes up before node A flushes its claims
    Then node B's claim of "booking-1" is "conflict"
    When node A flushes its claims
    Then node B's claim of "booking-1" is "recorded"
    And the recorded answer is 201 with the body "booked"

  Scenario: A stale read of the claim
    Node A's claim is completed. The read after node B's conflict returns the earlier state or no
    object; B retries until a read is consistent with the conflict, and never runs the request.
    Given two nodes with claims
    And node A has claimed "booking-1"
    When the next 1 reads of claims are stale
    Then node B's claim of "booking-1" is "conflict"
    When node A records "booking-1" as completed with the body "booked"
    And the next 1 reads of claims are stale
    Then node B's claim of "booking-1" is "conflict"
    And node B's claim of "booking-1" is "recorded"

  Scenario: The store refuses over its rate
    Given two nodes with claims
    And the route's claims_when_store_down is "run"
    When the store refuses every claim over its rate
    And node A claims "booking-1"
    Then node A's result is "unavailable"
    And a refusal has a retry time

  Scenario: A frozen holder wakes after the retention
    Node A is suspended between its claim and the dispatch. A day later the claim has expired, the
    caller's retry runs through node B, and A resumes where it was suspended.
    Given two nodes with claims
    And node A has claimed "booking-1"
    And node A may dispatch "booking-1"
    When 90000 s pass on every clock
    Then node B's claim of "booking-1" is "held"
    And node A may not dispatch "booking-1"

  Scenario: A holder that died is not replaced
    Node A crashes after its claim, and it is unknown whether it dispatched. The claim stays valid
    until the retention time ends.
    Given two nodes with claims
    And node A has claimed "booking-1"
    When 80000 s pass on every clock
    Then node B's claim of "booking-1" is "conflict"

  Scenario: A retention shorter than a request may last
    The settings keep claims for 1 s. A second run would begin while the first is in progress.
    Given two nodes with claims
    And the route's claim_retention_s is 1
    And node A has claimed "booking-1"
    When 100 s pass on every clock
    Then node B's claim of "booking-1" is "conflict"

  Scenario Outline: A node whose own clock is wrong
    By node <wrong>'s clock, which is <seconds> s off, node A's claim would have expired long ago, so
    the request would run a second time concurrently with the first.
    Given two nodes with claims
    And node <wrong>'s clock is <seconds> s off
    And node A has claimed "booking-1"
    Then node B's claim of "booking-1" is "conflict"

    Examples:
      | wrong | seconds |
      | A     | -200000 |
      | B     | 200000  |

  Scenario: A cleaner that was stopped in the middle of a call does not mistake the time
    The cleaner reads its own clock, is suspended for two days, and then gets the store's time with
    the list. A clock offset from both would make valid claims look expired and free their keys.
    Given two nodes with claims
    When a cleaner lists the slice of "booking-1", stopped for 200000 s while node A claims it
    Then the cleaners have deleted 0 claims
    And node B's claim of "booking-1" is "conflict"

  Scenario Outline: A key that cannot be one
    Given two nodes with claims
    Then a claim of a key of <count> characters fails as "bad-request"

    Examples:
      | count |
      | 0     |
      | 256   |

  Scenario: A key is used again with another request
    An error of the caller: the response to the first request must not be returned for the second.
    Given two nodes with claims
    And node A has claimed "booking-1"
    And node A has recorded "booking-1" as completed with the body "booked"
    When node B claims "booking-1" for another request
    Then node B met a conflict "other-request"

  Scenario: A request that was certainly not sent frees its key
    Given two nodes with claims
    And node A has claimed and released "booking-1"
    Then node A may not dispatch "booking-1"
    And node B's claim of "booking-1" is "held"

  Scenario: A copy of the claim arrives after its release
    The first copy of the create is delayed and the second one succeeds; the request can't be sent, so
    its key is released. Then the first copy arrives.
    Given two nodes with claims
    When the store delays one write and node A claims "booking-1"
    And node A releases "booking-1"
    And the delayed writes arrive
    Then node B's claim of "booking-1" is "held"

  Scenario: An answer that comes after "unknown"
    The connection to the backend server broke and the outcome was recorded as unknown; then the
    response arrived after all. A completed outcome never changes back to unknown.
    Given two nodes with claims
    And node A has claimed "booking-1"
    When node A records "booking-1" as unknown
    Then node B's claim of "booking-1" is "recorded"
    And the recorded state is "unknown"
    When node A records "booking-1" as completed with the body "booked"
    And node A records "booking-1" as unknown
    Then node B's claim of "booking-1" is "recorded"
    And the recorded answer is 201 with the body "booked"

  Scenario: A slow cleaner meets a key that is claimed anew
    Two cleaners list the same expired claim. The first deletes it, a caller claims the key again.
    After that, the second deletes. An unconditional delete would free the key of a running request.
    Given two nodes with claims
    And node A has claimed "booking-1"
    When 90000 s pass on every clock
    And two cleaners list the slice of "booking-1"
    And the first cleaner deletes what it listed
    And node A claims "booking-1"
    And the second cleaner deletes what it listed
    Then node B's claim of "booking-1" is "conflict"
    And the cleaners have deleted 1 claim

  Scenario: The cleaner leaves what has not ended
    Given two nodes with claims
    And node A has claimed "booking-1"
    When 80000 s pass on every clock
    And a cleaner cleans the slice of "booking-1"
    Then the cleaners have deleted 0 claims

  Scenario: The store's process is killed while a request runs
    The store's process dies between the claim and the record of its outcome. The request that holds
    its claim continues; new ones are refused and none of them may run.
    Given two nodes with claims and the store as a process
    And node A has claimed "booking-1"
    When the store's process dies
    And node A records "booking-1" as completed with the body "booked"
    Then the record has not reached the store
    And node A's claim of "booking-1" is "recorded"
    And node B's claim of "booking-2" is "unavailable"

  Scenario: The cleaners of a large fleet read no more than the store can spare
    Each node periodically lists a slice of the claims. With a fixed interval per node, 790 nodes
    would read 8 MB of claims per second and list each slice a hundred times before any of its
    claims expires, and these reads would delay the claims of callers.
    Given two nodes with claims
    Then the cleaners of 22 nodes list 2 to 2.5 slices a second in all
    And the cleaners of 790 nodes list 4.5 to 5.5 slices a second in all

  Scenario: A key whose claim is lost with the store's newest state, while its holder lives
    # The store is restored from a copy made before the claim. The request has run, its caller lost
    # the response and retries with the same key, which the store shows as free.
    Given two nodes with claims
    And a copy of the claim store is kept
    And node A has claimed "booking-1"
    When the claim store is restored from the copy
    And node B claims "booking-1"
    Then node B's result is "unavailable"
    And a refusal has a retry time
    When the nodes rewrite their claims and 16 s pass
    Then node B's claim of "booking-1" is "conflict"
    And node B's claim of "booking-2" is "held"

  Scenario: A key whose claim is lost with the store's newest state, and its holder with it
    # As before, and the node that ran the request is lost at the same time. Another node received
    # the claim before the request was sent.
    Given two nodes with claims
    And node B is told of what node A claims
    And a copy of the claim store is kept
    And node A has claimed "booking-1"
    And node A is lost
    When the claim store is restored from the copy
    And node B claims "booking-1"
    Then node B's result is "conflict"
    When the nodes rewrite their claims and 16 s pass
    Then node B's claim of "booking-1" is "conflict"

  Scenario: A key that is claimed as the store comes back
    # The node learns of the restore from the response to its own claim, which the store accepted.
    Given two nodes with claims
    And a copy of the claim store is kept
    And node A has claimed "booking-1"
    And node B has claimed "booking-2"
    And node A is lost
    When the claim store is restored from the copy
    And node B claims "booking-1"
    Then node B's result is "unavailable"

  Scenario: The outcome of a booking that the store has lost is written again
    Given two nodes with claims
    And a copy of the claim store is kept
    And node A has claimed "booking-1"
    And node A has recorded the answer of "booking-1"
    When the claim store is restored from the copy
    And the nodes rewrite their claims and 16 s pass
    Then node B's claim of "booking-1" is "recorded"
