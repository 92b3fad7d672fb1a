Feature: The newest word of a start of a backend server holds

  Scenario Outline: Which of two answers holds
    # Answers overtake each other. One is newer for certain where its request was sent after the other
    # one had come.
    Given a start "i-1" of a server
    When an answer to a request sent at <sent> comes at <came> and names <first>
    And an answer to a request sent at <sent_next> comes at <came_next> and names <next>
    Then its limit is <limit>

    Examples:
      | sent | came | first | sent_next | came_next | next | limit |
      | 1.0  | 1.2  | 8     | 1.1       | 1.3       | none | 8     |
      | 1.0  | 1.2  | 8     | 1.1       | 2.5       | none | 8     |
      | 1.0  | 1.2  | 8     | 1.3       | 1.5       | none | 8     |
      | 1.0  | 1.2  | 8     | 2.2       | 2.4       | none | none  |
      | 1.0  | 1.2  | 8     | 1.1       | 1.3       | 4    | 4     |
      | 1.0  | 1.2  | 8     | 1.1       | 2.5       | 20   | 8     |
      | 1.0  | 1.2  | 8     | 2.2       | 2.4       | 20   | 20    |
      | 1.0  | 1.2  | none  | 0.9       | 1.3       | 4    | 4     |

  Scenario: A limit that is named in every other answer stays in force
    Given a start "i-1" of a server
    When answers name 8 and none in turn, one each 0.1 s for 5 s
    Then its limit is 8 all the while

  Scenario: Health that never named a limit says nothing of its end
    Given a start "i-1" of a server
    When an answer to a request sent at 1.0 comes at 1.2 and names 8
    And its health, asked at 5.0, names none
    Then its limit is 8

  Scenario: Health that has named a limit tells of its end
    Given a start "i-1" of a server
    When its health, asked at 1.0, names 8
    And its health, asked at 5.0, names none
    Then its limit is none

  Scenario: That a server leaves is never taken back
    Given a start "i-1" of a server
    When its health, asked at 1.0, says that it leaves
    And an answer to a request sent at 2.0 comes at 2.2 and names none
    Then it counts as leaving

  Scenario: Without an identity a newer answer may be that of another start
    Given a start "" of a server
    When its health, asked at 1.0, says that it leaves
    And an answer to a request sent at 2.0 comes at 2.2 and names none
    Then it doesn't count as leaving

  Scenario Outline: What another node tells of a start
    Given a start "i-1" of a server
    When <before>
    And another node tells of "<start>" that it names 8 and leaves
    Then its limit is <limit>
    And it <leaves>

    Examples:
      | before                                                             | start | limit | leaves                   |
      | nothing was heard of it                                            | i-1   | 8     | counts as leaving        |
      | nothing was heard of it                                            | i-2   | none  | doesn't count as leaving |
      | an answer to a request sent at 1.0 comes at 1.2 and names none     | i-1   | none  | counts as leaving        |
