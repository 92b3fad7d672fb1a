Feature: A backend server gets no more than the limit that it names, and nothing once it leaves

  Scenario Outline: A server that names a limit gets no more, from all nodes together
    # A server states a rate limit in its responses. A load balancer that ignores the limit would go on
    # sending it an even share of the requests.
    Given <servers> servers on the platform that run lookups for 160 ms
    And <stating>
    When 60 lookups a second come through all nodes
    And after 2 s <limited> of them name <rate> requests a second
    And 7 s pass while they come
    Then each of these got no more than its limit allows
    And each of these got at least <least> in the last 4 s
    And each lookup that was refused has a retry hint

    Examples:
      | servers | limited | rate | least | stating                               |
      | 4       | 1       | 7.6  | 15    | their health says what their answers do |
      | 4       | 1       | 7.6  | 15    | their health says nothing               |
      | 3       | 3       | 7.6  | 25    | their health says what their answers do |
      | 4       | 1       | 0.5  | 1     | their health says nothing               |
      | 3       | 1       | 0    | 0     | their health says nothing               |

  Scenario: A node that starts anew keeps its server to the limit that others know
    # The new process knows neither the limit nor the requests already sent, but other nodes do.
    Given 3 servers on the platform that run lookups for 160 ms
    And their health says nothing
    When 60 lookups a second come through all nodes
    And after 2 s 1 of them name 5 requests a second
    And after 5 s the node beside the first server is started anew
    And 6 s pass while they come
    Then each of these got no more than its limit allows

  Scenario: A limit ends with the word
    Given 3 servers on the platform that run lookups for 160 ms
    And their health says nothing
    When 60 lookups a second come through all nodes
    And after 1 s 1 of them name 4 requests a second
    And after 4 s they name no limit any more
    And 5 s pass while they come
    Then each of these got at least 40 in the last 4 s

  Scenario: A server that another start has replaced owes nothing of its limit
    Given 3 servers on the platform that run lookups for 160 ms
    And their health says what their answers do
    When 60 lookups a second come through all nodes
    And after 1 s 1 of them name 1 requests a second
    And after 3 s a new instance of the first server, without a limit, replaces it
    And 5 s pass while they come
    Then each of these got at least 40 in the last 4 s

  Scenario Outline: A server that says in its answers that it leaves gets nothing more
    # Its heartbeats still report that it is ready; its health check does too, unless it repeats the
    # statement.
    Given 4 servers on the platform that run lookups for 160 ms
    And <stating>
    When 60 lookups a second come through all nodes
    And after 1 s the first server says that it leaves, while its heartbeats say that it is ready
    And <then>
    And 5 s pass while they come
    Then no node sent it a request later than 2 s after passing its statement on
    And at least 95 in 100 of the lookups were answered 200

    Examples:
      | stating                                 | then                                                      |
      | their health says what their answers do | 1 s pass while they come                                  |
      | their health says nothing               | 1 s pass while they come                                  |
      | their health says nothing               | after 2 s the node beside the first server is started anew |

  Scenario: What can't be read counts as not said
    Given 3 servers on the platform that run lookups for 160 ms
    And their health says what their answers do
    When 60 lookups a second come through all nodes
    And after 1 s 3 of them name -1 requests a second
    And 5 s pass while they come
    Then at least 95 in 100 of the lookups were answered 200
    And each of these got at least 40 in the last 4 s
