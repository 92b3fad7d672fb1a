Feature: The settings in force never go back, and a node that can't know them says so

  Background:
    Given a settings fleet of nodes a, b, c whose tree is
      """
      [services.mapdesk]
      slots = 10
      """

  Scenario: Most nodes learn of a change by gossip and pull it from a peer
    Given settings nodes d, e, f, g, h join
    And no settings node but a reaches the store
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the change is accepted as revision 2
    And every settings node has slots 11 for mapdesk
    And all of that took less than 1 s

  Scenario: A change is pulled from another node where the one that was asked is slow to answer
    # Nodes serve by routes that were replaced seconds ago. Two nodes have the change and report it,
    # but responses of one are delayed by large bodies on its link. A node that pulls from that one
    # waits a second until it tries another.
    Given settings nodes d, e, f, g, h join
    And no settings nodes but a, f reach the store
    And requests to settings nodes a time out
    When the tree in the store is changed 6 times, once each 3 s
    Then each of them was in force at a, b, c, d, e, f, g, h within 0.7 s

  Scenario: Only a few nodes of each data centre watch the store
    Given settings nodes d, e, f, g, h join
    Then 3 of the settings nodes are watchers

  Scenario: A watcher takes a change from the store without gossip
    Given no settings gossip
    When the tree in the store is changed to slots 11
    Then within 2 s a watching settings node has slots 11

  Scenario: A stale read after a change does not take it back
    The store returns stale objects for a while, to watchers and to nodes that start.
    When an operator at a sets slots = 11 in /services/mapdesk
    And the store answers the next 20 reads with its first state
    And the watches of the settings end
    Then every settings node has slots 11 for mapdesk
    And no settings node reverted to an older revision

  Scenario: The store's history has a gap
    The watch ends with "not found": the store no longer has the events after the given version.
    Given no settings gossip
    And the settings store's watches deliver nothing
    When the tree in the store is changed to slots 11
    And the settings store's watches report a gap
    Then within 2 s a watching settings node has slots 11

  Scenario: A watch lapses without a word
    The store drops the watch but leaves the connection open, so no further change arrives.
    Given no settings gossip
    And the settings store's watches deliver nothing
    When the tree in the store is changed to slots 11
    Then within 35 s a watching settings node has slots 11

  Scenario: A node that starts while the store is down takes the settings from a peer
    Given the settings store is down
    When the settings node d joins
    Then within 5 s the settings node d is current, and then has slots 10

  Scenario: A node that restarts while the store is stale does not go back
    The new process has no settings, and the store returns a tree that was replaced. If the node
    accepted it, its callers would be served by old settings until gossip arrives.
    When an operator at a sets slots = 11 in /services/mapdesk
    And the settings store's watches deliver nothing
    And the settings node c is replaced while gossip is late and 10 reads are stale
    Then within 8 s the settings node c is current, and then has slots 11

  Scenario: A node that starts where nobody answers is not current
    Given the settings store is down
    And the settings node d is cut off from all
    When 30 s pass for the settings nodes
    Then the settings node d is not current

  Scenario: The tree in the store was begun anew
    The object was deleted, and a new tree counts from 1 again. Its revisions can't be compared with
    those in force; a node that did so would apply settings that nobody approved for it.
    When the tree in the store is replaced by revision 9 of another lineage with slots 12
    And the watches of the settings end
    Then every settings node has slots 10 for mapdesk

  Scenario: An old frozen node returns
    The node is frozen during a change. When it resumes, its view and the responses in its sockets
    are outdated. It must refuse callers at once, catch up, and not spread the old revision.
    Given the settings node c is frozen
    And 20 s pass for the settings nodes
    When an operator at a insists on slots = 11 in /services/mapdesk
    And the settings node c resumes
    Then the settings node c is not current
    And within 5 s the settings node c is current, and then has slots 11
    And every settings node has slots 11 for mapdesk

  Scenario: A short freeze, within the bound
    The freeze is shorter than the freshness limit, but long enough to miss a change. The node
    refuses callers from its first reading of the clock until it has caught up.
    Given the settings node c is frozen for 0.6 s right after it asked
    When the settings node c resumes
    Then the settings node c is not current
    And in 0.4 s the settings node c is current

  Scenario: A member is found dead that is only cut off
    Callers still reach the node, which considers itself current for some seconds and serves by the
    old settings. The change is reported as in force only once it has stopped.
    Given the settings node c is cut off from all
    And the settings node c is found dead
    When an operator at a sets slots = 11 in /services/mapdesk and waits 30 s
    Then the change is accepted as revision 2
    And the change is in force and the settings node c is not current

  Scenario: A frozen node finds an answer from before in its socket
    The node freezes between a request and its response. Timestamped at its arrival, the old
    response would count as current: the node would serve callers by settings replaced minutes ago.
    Given the settings node c is frozen while a peer's answer is on its way
    And 20 s pass for the settings nodes
    When an operator at a insists on slots = 11 in /services/mapdesk
    And the settings node c resumes cut off from all
    Then the settings node c is not current
    When 1 s pass for the settings nodes
    Then the settings node c is not current

  Scenario: An operator's node freezes between reading and writing
    The node resumes after the same branch was changed by others, and continues with its write.
    Given the settings node a freezes just before its next tree write, until b changed the branch
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the change is rejected with branch-conflict
    And every settings node has slots 12 for mapdesk

  Scenario: A frozen watcher wakes to events that are old
    Given the settings node a is frozen
    When an operator at b insists on slots = 11 in /services/mapdesk
    And an operator at b insists on slots = 12 in /services/mapdesk
    And the settings node a resumes
    And 5 s pass for the settings nodes
    Then every settings node has slots 12 for mapdesk
    And no settings node reverted to an older revision

  Scenario: The node that goes first in quick changes loses the store amid them
    The other watchers defer to the primary watcher for a moment after each change. They resumed
    their watches at the old position, processed one change a second, and served by versions that
    were replaced seconds before.
    Given settings nodes d, e, f join
    When 12 changes follow each other by 0.2 s, and the primary watcher loses the store after 4
    Then no settings node was ever 1.5 s behind

  Scenario: One node cut off from all stops taking callers' requests within the bound
    Given the settings node c is cut off from all
    When 4 s pass for the settings nodes
    Then the settings node c is current
    When 3 s pass for the settings nodes
    Then the settings node c is not current
    When the settings node c is reconnected
    Then within 5 s the settings node c is current, and then has slots 10

  Scenario: A node cut off from the others only still reads the store
    Given the settings node c is cut off from its peers
    When 60 s pass for the settings nodes
    Then the settings node c is current

  Scenario: A region cut off from the store and the other region keeps serving
    Most members stop responding at once and are not yet known to be dead. Asked in random order,
    they would use up the freshness limit before a member of the own region is asked.
    Given settings nodes d, e, f, g, h, i, j, k join
    And settings nodes x, y join in region east
    And region east is cut off from the store and the rest
    When 300 s pass, in which the settings nodes x and y are always current
    When an operator at a insists on slots = 11 in /services/mapdesk
    Then the settings node x has slots 10
    When region east is healed
    Then within 9 s all settings nodes have slots 11

  Scenario: The store is down for long and every node keeps its settings
    Given the settings store is down
    When 600 s pass for the settings nodes
    Then every settings node is current
    And every settings node has slots 10 for mapdesk

  Scenario: A whole region that was frozen at once gets going without the store
    Given the settings store is down
    And every settings node is frozen
    And 60 s pass for the settings nodes
    When every settings node resumes
    Then no settings node is current
    And within 10 s every settings node is current

  Scenario: A whole region that was frozen at once does not wait for a store that answers nothing
    Each freshness check would take as long as a store call takes to time out, and callers are
    refused meanwhile.
    Given the settings store hangs
    And every settings node is frozen
    And 60 s pass for the settings nodes
    When every settings node resumes
    Then no settings node is current
    And within 3 s every settings node is current

  Scenario: Many nodes were frozen at once, and ask each other when they wake
    None of them knows of the change. A node that accepts the confirmation of another one would
    serve callers by the old settings.
    Given settings nodes d, e, f, g, h, i, j, k join
    And the settings nodes c, d, e, f, g, h, i, j, k are frozen
    And 20 s pass for the settings nodes
    And an operator at a insists on slots = 11 in /services/mapdesk
    And the settings store is down
    And no settings gossip
    When every settings node resumes
    Then for 10 s no settings node is current unless it has slots 11
    And every settings node is current

  Scenario: A node that can't read the revision in force stops taking callers' requests
    A newer version wrote a key that this one doesn't know. Continuing would mean serving by
    settings that are no longer in force.
    When the tree in the store is changed to "[services.mapdesk]\nnew_key = 1"
    And 9 s pass for the settings nodes
    Then no settings node is current
    When the tree in the store is changed to slots 12
    Then within 9 s every settings node is current
    And every settings node has slots 12 for mapdesk

  Scenario: Nodes write the tree again that the store has lost
    # The store is restored from a backup made before the last change, which the operator was told
    # is in force everywhere. If it were left so, the next restart of the fleet would revert the
    # change.
    When an operator at a sets slots = 11 in /services/mapdesk
    And the settings store is restored from a backup of its first state
    And the watches of the settings end
    Then the tree in the store has slots 11
    And every settings node has slots 11 for mapdesk
    And no settings node reverted to an older revision

  Scenario: A change on top of a copy is refused while a member has newer settings in force
    # A node that was away when the last change was made is asked for the next one, and the store
    # has lost the last one. On top of the backup, the new change would get a revision number that
    # is already in force elsewhere.
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the settings node b rejects a change on top of revision 1, "newer than the store's"
    And the settings node b accepts a change on top of revision 2
