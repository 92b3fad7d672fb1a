Feature: A fault in one part of a node doesn't go on unnoticed

  Scenario: A backend server drains after its health endpoint has answered something odd
    # A thousand nested brackets make the JSON parser raise an error that is not a parse error. This
    # would end the health check task, and the node would not learn that the server is draining.
    Given a health checker whose backend server responds with 60000 brackets, then draining
    When two health checks have run
    Then it has reported the states ready and draining

  Scenario: A task of the node fails
    # Whatever the error, the task is restarted after a delay, and the restart is counted.
    Given a task of a node that fails at its first two runs
    When 3 s pass on the node's clock
    Then the task runs, and 2 restarts were counted

  Scenario: An announcement in the store is not what nodes write
    # Its time is a string that looks like a number but can't be compared with one. The announcer
    # task would end at every node of the fleet without a log line, and nodes that start afterwards
    # or rejoin after a partition would find no announcement of another node.
    Given a store in which an announcement has the text 5 as its time
    When a node announces itself for 4000 s
    Then it has announced itself at least 2 times, and goes on
