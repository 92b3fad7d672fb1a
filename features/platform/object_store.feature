Feature: The store client reports the true outcome of each call
  The rest of a node depends on one of three outcomes of a write: it took effect, it did not, or
  that is unknown. Each scenario makes the connection or the store fail and checks the outcome.

  Scenario: A write whose answer is lost is not taken for a conflict
    The store applies a create and the connection breaks before the response. HTTP defines PUT as
    idempotent, so the client library would resend it; the copy would conflict with the object that
    the first one created, and the writer would believe that another writer had won.
    Given an object store
    And the node has called the store before
    When the store loses the answer to the next write
    And the node creates "settings/tree" as "mine"
    Then the call fails as "store-ambiguous"
    And the store has seen 2 writes

  Scenario: A lost answer is resolved to the writer's own object
    Given an object store
    When the store loses the answer to the next write
    And the node creates "settings/tree" as "mine" and resolves the outcome
    Then the write is its own

  Scenario: A lost answer is resolved to another writer's object
    Another node's object already exists. The lost response reported the conflict.
    Given an object store
    And another node created "settings/tree" as "theirs"
    When the store loses the answer to the next write
    And the node creates "settings/tree" as "mine" and resolves the outcome
    Then the write lost to "theirs"

  Scenario: A write that takes effect late is not reported as failed
    The connection breaks while the create is still in transit inside the platform. A read at that
    moment finds no object, and a writer that relied on it would report as failed a write that takes
    effect a moment later.
    Given an object store
    When the store delays the next write
    And the node creates "settings/tree" as "mine" and resolves the outcome
    Then the write is its own
    And the delayed write is refused when it arrives
    And the store holds "mine" under "settings/tree"

  Scenario: A late update does not undo a newer one
    The first copy of an update is delayed, the second one succeeds. When the first arrives, another
    node has already updated the object again.
    Given an object store
    And another node created "settings/tree" as "first"
    When the store delays the next write
    And the node updates "settings/tree" to "mine" and resolves the outcome
    Then the write is its own
    When another node updates "settings/tree" to "mine+theirs"
    Then the delayed write is refused when it arrives
    And the store holds "mine+theirs" under "settings/tree"

  Scenario: A lost update is known again after another node has built on it
    The update takes effect and its response is lost. Before the writer reads, another node replaces
    the object with one whose history contains the first writer's id.
    Given an object store
    And another node created "settings/tree" as "first"
    When the store loses the answer to the next write
    And another node builds on that write before the node looks
    And the node updates "settings/tree" to "mine" and resolves the outcome
    Then the write is its own
    And the store holds "mine+theirs" under "settings/tree"

  Scenario: A stale read is not taken for the winner
    The write conflicts with another node's. The read that follows returns the version from before
    both writes, which would suggest that neither took effect.
    Given an object store
    And another node created "settings/tree" as "first"
    And another node has updated "settings/tree" to "theirs" meanwhile
    When the next read is stale
    And the node updates the first version of "settings/tree" to "mine" and resolves the outcome
    Then the write lost to "theirs"

  Scenario: A write that is never answered stays undecided
    The store hangs for longer than the deadline, so the outcome is unknown.
    Given an object store
    When the store is in mode "hang"
    And the node creates "settings/tree" as "mine" and resolves the outcome within 0.3 s
    Then the call fails as "store-ambiguous"

  Scenario Outline: A refusal counts as without effect only on the store's own word
    A gateway in front of the store may return 5xx for a write that the store applied.
    Given an object store
    When the store is in mode "<mode>"
    And the node creates "settings/tree" as "mine"
    Then the call fails as "<code>"

    Examples:
      | mode   | code              |
      | refuse | store-unavailable |
      | error  | store-ambiguous   |
      | drop   | store-ambiguous   |

  Scenario: An answer that is not the store's decides nothing
    A proxy between the node and the store returns 200 with its own page.
    Given an object store
    When the store is in mode "garbage"
    And the node creates "settings/tree" as "mine"
    Then the call fails as "store-ambiguous"
    When the node reads 1 times with a timeout of 0.5 s
    Then every read failed as "store-unavailable"

  Scenario: A node gives way when the store refuses over its rate
    The limit applies to the whole fleet. A node that kept retrying at its full rate would use up
    calls that other nodes need.
    Given an object store that refuses every call over its rate
    When the node creates "settings/tree" as "mine"
    Then the call fails as "store-throttled"
    And the store has seen at most 4 writes
    And the node's write budget is at most 60 calls a second
    When 30 s have passed
    Then the node's write budget is 100 calls a second

  Scenario: A node keeps its own budget
    A bug in a node, or a burst of its callers, would make far more calls than its limit.
    Given an object store
    And a node that may make 5 writes at once and 1 a second
    When the node makes 50 writes within 0.2 s
    Then the store has seen 5 writes
    And the others failed as "store-throttled"

  Scenario: An outage costs no timeout for each call, and no flood at its end
    The store hangs. The first calls time out; later ones fail immediately. When it is up again, one
    call probes it before others are sent.
    Given an object store
    When the store is in mode "hang"
    And the node reads 5 times with a timeout of 0.3 s
    And the node reads 20 times at once
    Then every read failed as "store-unavailable"
    And the store has seen 5 reads
    When 10 s have passed
    And the node reads 20 times at once
    Then the store has seen 6 reads
    When the store is in mode "up"
    And 10 s have passed
    And the node reads 20 times at once
    Then the store has seen 7 reads
    And the node can read again

  Scenario: A check of the store is sent though the circuit breaker is open
    # The store is back after an outage, and each node pauses for up to 5 s before it calls again.
    # Nobody hears of a change until the first pause ends.
    Given an object store
    When the store is in mode "drop"
    And the node reads 5 times with a timeout of 0.3 s
    And the node checks the store 2 times
    Then the store has seen 7 reads
    When the store is in mode "up"
    And the node checks the store 1 time
    Then the node can read again

  Scenario: Checks of the store that fail do not open the circuit breaker
    # Guards against calls of requests that fail since checks are made more often than they are.
    Given an object store
    When the store is in mode "drop"
    And the node checks the store 8 times
    And the store is in mode "up"
    Then the node can read again

  Scenario: Calls with short deadlines do not open the circuit breaker
    The store is healthy and responds after 100 ms. Calls with shorter deadlines fail, which says
    nothing about the store; a circuit breaker opened by them would fail the calls of everyone.
    Given an object store
    When the store takes 100 ms for each call
    And the node reads 8 times with a timeout of 0.03 s
    Then every read failed as "store-unavailable"
    And the node can read again

  Scenario: A watch goes on from the version of the list
    The newest change under the prefix was a deletion and is no longer in the history. A watch from
    the newest listed object would hit a gap after every list.
    Given an object store that keeps 3 changes
    When 6 objects are made and the newest 4 deleted under "members/"
    Then a watch of "members/" from the list's version reports the next change
    And a watch of "members/" from the newest object listed fails as "not-found"

  Scenario: The store's process is killed and comes back
    Given the object store as a process
    When the node creates "settings/tree" as "mine"
    Then the call succeeds
    When the store's process is killed
    And the node creates "settings/other" as "mine"
    Then the call fails without a claim of success
    When the node reads 6 times with a timeout of 0.3 s
    Then every read failed as "store-unavailable"
    When the store's process is started again at its address
    And 10 s have passed
    Then the node can read again
