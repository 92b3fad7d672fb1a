Feature: Callers are known by their keys, and a key that was taken away opens nothing
  Real nodes that use the platform interface. Two workspaces: acme holds the key a1, beta the key
  b1. A removed key must be refused by every node after 2 s.

  Scenario: A request runs for the workspace that holds its key, whatever its caller claims
    # A caller names another workspace in the header that backend servers trust. If it were forwarded,
    # the caller would get that workspace's data. A backend server that received the key could
    # impersonate the caller.
    Given a fleet with workspaces: mapdesk, mapdesk, licencehub
    When a caller with the key a1 that claims to be "beta" asks each node
    Then each request ran for "acme"
    And no server received a key

  Scenario Outline: Who is not known is refused before the body is read, and nothing runs
    # A caller sends a booking of ten megabytes. If the body were read before the key is checked,
    # anybody could fill the node's memory.
    Given a fleet with workspaces: mapdesk
    When a caller begins to send a large body with <key>
    Then it gets 401 at once
    And no server ran anything

    Examples:
      | key                     |
      | no key                  |
      | an unknown key          |
      | a key of another scheme |
      | an empty key            |
      | two keys                |

  Scenario: A route that is open needs no key, and names the workspace of a good one
    Given a fleet with workspaces: mapdesk
    When "/open/1" is asked without a key, with an unknown one and with the key b1
    Then each of them ran, for nobody, nobody and "beta"
    And no server received a key

  Scenario: Calls of a running request need no key, and others that claim to be calls do
    # A backend server calls another service on behalf of a request. The call carries no key but an
    # attempt id derived from the running request. A caller that invents such an id is refused.
    Given a fleet with workspaces: mapdesk, licencehub
    And the nodes have been up for long
    When a request of acme runs on mapdesk, and its server makes a call
    Then the call ran, with the identity of no workspace
    When a call is made for a request that runs nowhere
    Then it gets 401

  Scenario: A call whose run has just ended is told that it did not run
    # The request ends while its call is in flight. A 401 would tell the server that its calls are
    # forbidden.
    Given a fleet with workspaces: mapdesk
    And the nodes have been up for long
    When a request of acme has run on mapdesk, and its server makes a call
    Then the call gets 503

  Scenario: A workspace's priority goes before the route's
    Given a fleet with workspaces: mapdesk
    When the priority of acme is 0
    Then a request of acme is urgent, and one of beta goes by its route

  Scenario: A key is in no log, answer, metric, or setting that operators see
    # Logs are written to files that many people read, and settings are displayed on screens.
    Given a fleet with workspaces: mapdesk, mapdesk
    When callers with good keys, unknown ones and none ask each node
    Then no key is in the log, the answers, the metrics, or what operators are shown

  Scenario: A key that is taken away opens nothing, and a new one opens, at every node
    Given a fleet with workspaces: mapdesk, mapdesk, mapdesk
    When a version removes the key a1 and adds the key a2
    Then after 2 s each node answers 401 to a1 and 200 to a2

  Scenario: Nodes that can't hear of the settings let no key in for longer than allowed
    # The store is unavailable to all nodes, perhaps not to the operator, who may remove a key
    # meanwhile. If nodes that can't know this confirmed each other's settings, requests with that
    # key would go on running.
    Given a fleet with workspaces: mapdesk, mapdesk
    When the store is away for 3.5 s while callers come to all nodes with the key a1
    Then none of them that was sent later than 2 s after it began ran
    And each of these was refused as not run, with a retry hint
    And what needs no key ran all the while
    And 1 s after the store is back callers with the key a1 are served

  Scenario: A node that the store turns away vouches for keys by the others
    Given a fleet with workspaces: mapdesk, mapdesk, mapdesk
    When the store rejects node 2 for 3 s while callers come to it with the key a1
    Then at least 95 in 100 of them are served
    When a version removes the key a1 while the store rejects node 2
    Then after 2 s node 2 answers 401 to a1
