Feature: The adapter holds names and decides nothing
  Only the adapter knows the platform's names. A change of the platform's protocols only affects one
  small package, and the rest can be read without the platform's documentation.

  Scenario: No module outside of the adapter knows a name of the platform's wire
    Then no name of the wire stands outside of the adapter

  Scenario: The adapter has no part in any decision
    Then the adapter imports neither decisions nor clocks, chance or the event loop

  Scenario: A call of a running request is told from a caller's request
    # Backend servers send calls through their node like any caller. A call that is mistaken for a
    # caller's request queues behind callers' requests, while the request that made it holds its slot.
    When a backend server that runs "9c41" calls, and a caller asks
    Then the call is known as one and the caller's request is not

  Scenario: The settings that the platform fills in name every bound that a node goes by
    # The template writes the limits without their names. Without an error no limit would be known: a
    # stop would last until the process is killed, and second tries would have no common limit.
    Given the settings of a machine, filled into the deployed template
    Then the node stops within 6 s and shares 0.2 second tries for each request and 5.6 a second

  Scenario: A bound without a name is refused at the start
    Given the settings of a machine, filled into the deployed template
    When a bound is written without its name
    Then the settings are refused, and told is what is allowed

  Scenario Outline: What a server says that it takes is read strictly
    # A malformed limit must neither reduce the requests to a server nor fail the caller's response.
    When a server answers with <headers>
    Then it is read to take <rate> a second, <leaving>, with <malformed> malformed

    Examples:
      | headers                                   | rate    | leaving     | malformed |
      | nothing                                   | nothing | not leaving | 0         |
      | Server-Limit: 7.6                         | 7.6     | not leaving | 0         |
      | server-limit: 0                           | 0       | not leaving | 0         |
      | Server-Limit: 12, Server-Leaving: 1       | 12      | leaving     | 0         |
      | Server-Leaving: 1                         | nothing | leaving     | 0         |
      | Server-Limit: -1                          | nothing | not leaving | 1         |
      | Server-Limit: nan                         | nothing | not leaving | 1         |
      | Server-Limit: inf                         | nothing | not leaving | 1         |
      | Server-Limit: 1e9                         | nothing | not leaving | 1         |
      | Server-Limit: 2000000                     | nothing | not leaving | 1         |
      | Server-Limit: many                        | nothing | not leaving | 1         |
      | Server-Limit:                             | nothing | not leaving | 1         |
      | Server-Limit: 5, Server-Limit: 9          | nothing | not leaving | 1         |
      | Server-Limit: ٣                           | nothing | not leaving | 1         |
      | Server-Leaving: yes, Server-Limit: x      | nothing | not leaving | 2         |

  Scenario Outline: A machine that has <memory> MB
    # Guards against bounds on clients that go by another machine's memory, and against a template
    # that can't be filled in where the platform names none.
    Given the settings of a machine with <memory> MB, filled into the deployed template
    Then the node may take <taken> MB

    Examples:
      | memory | taken |
      | 512    | 512   |
      | no     | 300   |
