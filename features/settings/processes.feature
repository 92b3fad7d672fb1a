Feature: Settings over real nodes and a real store connection

  Scenario: Changes through lost answers, an outage of the store and a replaced node
    # The store applies a write and its response is lost; then it is down for longer than the
    # command waits. A node is killed and replaced meanwhile: it gets the settings from a peer and
    # serves callers by them.
    Given a mesh of 4 mapdesk nodes
    When the mesh command "settings set /services/mapdesk max_depth 7" ends with 0
    Then all mesh nodes have revision 2
    Given the store shows {"lose_answers": 1}
    When the mesh command "settings set /services/mapdesk max_depth 8" ends with 0
    Then all mesh nodes have revision 3
    Given the store shows {"mode": "drop"}
    When the mesh command "settings set /services/mapdesk max_depth 9" ends with 5
    And mapdesk-3 is killed and restarted
    Then mapdesk-3 comes to revision 3 and serves callers
    Given the store shows {"mode": "up"}
    When the mesh command "settings set /services/mapdesk max_depth 9" ends with 0 within 30 tries
    Then all mesh nodes have revision 4

  Scenario: A write that the store applies late
    # The response is lost and the write is not applied yet. The node retries the write, the retry
    # is applied, and the delayed original then fails its condition.
    Given a mesh of 2 mapdesk nodes
    And the store shows {"late_updates": 1}
    When the mesh command "settings set /services/mapdesk max_depth 7" ends with 0
    And the store applies its delayed writes
    And the mesh command "settings set /services/mapdesk max_depth 8" ends with 0
    Then all mesh nodes have revision 3

  Scenario: A node that was stopped by a signal refuses callers until it has caught up
    # The node is frozen while the others move to a new revision. Its first responses after it
    # resumes are by the new settings or refusals, never by the old settings.
    Given a mesh of 3 mapdesk nodes
    When mapdesk-3 is frozen for a change of max_depth to 1
    Then mapdesk-3 serves no call that is 2 deep after it resumes
