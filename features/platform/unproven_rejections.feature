Feature: A status that guarantees "not run" stands on the server's statement
  On the platform 408, 421, 429 and 503 guarantee callers that a request has not run and never will.
  A server that rejects a request says so in a header, or by 421; no other response states this.

  Scenario Outline: A server runs a booking and answers with a status that guarantees the contrary
    # Guards against passing on a 503 for a booking that has run.
    Given a fleet on the platform: mapdesk, licencehub
    And the server of node 1 runs the next booking and answers with <status>
    When a client books through node <node>
    Then the client gets 502
    And its answer bears no seal
    And it ran once

    Examples:
      | status | node |
      | 503    | 1    |
      | 503    | 2    |
      | 429    | 1    |
      | 429    | 2    |
      | 408    | 1    |
      | 408    | 2    |

  Scenario Outline: What a response with such a status is taken for
    # Guards against a guarantee without a statement, and against losing a rejection that has one.
    Given a server of the platform to which 10 connections may be open
    When it answers <status> with "<stated>" to a <kind> request
    Then it ends with <result>

    Examples:
      | status | stated            | kind           | result             |
      | 503    | X-Other: 1        | non-idempotent | an unknown outcome |
      | 429    | X-Other: 1        | non-idempotent | an unknown outcome |
      | 408    | X-Other: 1        | non-idempotent | an unknown outcome |
      | 503    | X-Not-Executed: 1 | non-idempotent | its rejection      |
      | 429    | X-Not-Executed: 1 | non-idempotent | its rejection      |
      | 421    | X-Other: 1        | non-idempotent | its rejection      |
      | 503    | X-Other: 1        | idempotent     | an unknown outcome |
      | 500    | X-Other: 1        | non-idempotent | its own answer     |
      | 504    | X-Other: 1        | non-idempotent | its own answer     |
