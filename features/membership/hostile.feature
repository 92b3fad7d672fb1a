Feature: Datagrams that this fleet did not send, or sent before

  Background:
    # Anyone on the network can send to the gossip port. Bad datagrams must not reach the protocol;
    # they cause one log line per kind, with a code and a count.
    Given a membership network with seed 31 and 5 nodes
    When 5 seconds of membership pass

  Scenario Outline: A bad datagram is dropped and counted
    When membership node 1 receives <datagram>
    Then membership node 1 has dropped it as "<code>" and its view is unchanged

    Examples:
      | datagram                                    | code      |
      | 300 random bytes                            | bad-mac   |
      | an empty datagram                           | bad-mac   |
      | a ping made with another fleet's key        | bad-mac   |
      | a ping with one bit changed                 | bad-mac   |
      | a datagram of 1300 bytes                    | oversized |
      | an authentic datagram that is not CBOR      | malformed |
      | an authentic datagram that is not a list    | malformed |
      | an authentic ping with a negative sequence  | malformed |
      | a record whose key is another member's      | malformed |
      | a datagram that it has received before      | replayed  |
      | its own datagram                            | replayed  |
      | a ping meant for another member             | misaddressed |

  Scenario: A datagram recorded long ago says nothing to a process that never saw its sender
    # A recorded leave message is replayed minutes later to a process that started since and so has
    # no replay window for its sender.
    When a ping of membership node 2 is recorded and sent to a new process after 400 seconds
    Then the new process has dropped it as "out-of-time"

  Scenario: A flood of garbage writes few log lines
    When 1000 garbage datagrams arrive at the log of a node within 5 seconds
    Then 1 line is written for them
    When 1 garbage datagram arrives 10 seconds later
    Then the next line counts 1000 datagrams
