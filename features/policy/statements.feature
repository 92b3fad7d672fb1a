Feature: The newest word of a start of a backend server holds

  Scenario Outline: Which of two answers holds
    # Responses arrive out of order. One is known to be newer if its request was sent after the other
    # one had arrived.
    Given a server process "i-1"
    When the response to a request sent at <sent> arrives at <arrived> and states <first>
    And the response to a request sent at <sent_next> arrives at <arrived_next> and states <next>
    Then its limit is <limit>

    Examples:
      | sent | arrived | first | sent_next | arrived_next | next | limit |
      | 1.0  | 1.2     | 8     | 1.1       | 1.3          | none | 8     |
      | 1.0  | 1.2     | 8     | 1.1       | 2.5          | none | 8     |
      | 1.0  | 1.2     | 8     | 1.3       | 1.5          | none | 8     |
      | 1.0  | 1.2     | 8     | 2.2       | 2.4          | none | none  |
      | 1.0  | 1.2     | 8     | 1.1       | 1.3          | 4    | 4     |
      | 1.0  | 1.2     | 8     | 1.1       | 2.5          | 20   | 8     |
      | 1.0  | 1.2     | 8     | 2.2       | 2.4          | 20   | 20    |
      | 1.0  | 1.2     | none  | 0.9       | 1.3          | 4    | 4     |

  Scenario: A limit that is named in every other answer stays in force
    Given a server process "i-1"
    When responses state 8 and none in turn, one each 0.1 s for 5 s
    Then its limit is 8 all the while

  Scenario: Health that never named a limit says nothing of its end
    Given a server process "i-1"
    When the response to a request sent at 1.0 arrives at 1.2 and states 8
    And its health check, sent at 5.0, states none
    Then its limit is 8

  Scenario: Health that has named a limit tells of its end
    Given a server process "i-1"
    When its health check, sent at 1.0, states 8
    And its health check, sent at 5.0, states none
    Then its limit is none

  Scenario: That a server leaves is never taken back
    Given a server process "i-1"
    When its health check, sent at 1.0, states that it is leaving
    And the response to a request sent at 2.0 arrives at 2.2 and states none
    Then it is leaving

  Scenario: Without an identity a newer answer may be that of another start
    Given a server process ""
    When its health check, sent at 1.0, states that it is leaving
    And the response to a request sent at 2.0 arrives at 2.2 and states none
    Then it is not leaving

  Scenario Outline: What another node tells of a start
    Given a server process "i-1"
    When <before>
    And another node reports of "<start>" that it states 8 and is leaving
    Then its limit is <limit>
    And it <leaves>

    Examples:
      | before                                                               | start | limit | leaves         |
      | nothing was stated                                                   | i-1   | 8     | is leaving     |
      | nothing was stated                                                   | i-2   | none  | is not leaving |
      | the response to a request sent at 1.0 arrives at 1.2 and states none | i-1   | none  | is leaving     |
