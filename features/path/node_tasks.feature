Feature: A fault in one part of a node doesn't go on unnoticed

  Scenario: A backend server drains after its health endpoint has answered something odd
    # A thousand brackets make the reader of JSON give up with an error that is no parse error. The
    # task that reads would end, and nobody would hear that the server drains.
    Given a node's reader of a backend server whose health is 60000 brackets, then draining
    When it has read twice
    Then it knows the states ready and draining

  Scenario: A task of the node fails
    # Whatever the fault, the task runs again after a pause, and operators can count it.
    Given a task of a node that fails at its first two runs
    When 3 s pass on the node's clock
    Then the task runs, and 2 restarts were counted

  Scenario: An announcement in the store is not what nodes write
    # Its time is a text, which reads as a number but can't be compared with one. The task that
    # announces a node would end at every node of the fleet, without a word, and nodes that start
    # from then on, or come back from a cut, would find nobody that is announced.
    Given a store in which an announcement has the text 5 as its time
    When a node announces itself for 4000 s
    Then it has announced itself at least 2 times, and goes on
