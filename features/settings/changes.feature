Feature: A change of the settings is accepted by exactly one conditional write, or rejected

  Background:
    Given a settings fleet of nodes a, b, c whose tree is
      """
      # the shared tree
      [services.mapdesk]
      slots = 10 # measured in March
      [services.licencehub]
      slots = 10
      """

  Scenario: An accepted change is in force on every live node and keeps comments
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the change is accepted as revision 2
    And every settings node has slots 11 for mapdesk
    And the tree text contains "slots = 11 # measured in March"
    And the tree was written 2 times

  Scenario: Operators who race on the same branch: exactly one wins
    Both operators see revision 1. The second write arrives while the first is in flight. Without
    the check it would overwrite a change that its author never saw.
    When operators at a and b race to set slots to 11 and 12 in /services/mapdesk and /services/mapdesk
    Then one of the racing changes is accepted and the other is a branch-conflict
    And every settings node has the slots of the accepted change
    And the tree was written 2 times

  Scenario: Operators who race on different branches both win
    When operators at a and b race to set slots to 11 and 12 in /services/mapdesk and /services/licencehub
    Then both racing changes are accepted
    And every settings node has slots 11 for mapdesk
    And every settings node has slots 12 for licencehub

  Scenario: An edit inside a branch that another operator removed is a conflict
    The operator adds a route to a service that is removed concurrently. Rebased, the edit would
    bring the removed service back with nothing in it but this route.
    Given another operator at b removes /services/mapdesk just before the next write
    When an operator at a creates /services/mapdesk/routes/tiles
    Then the change is rejected with branch-conflict
    And the settings service mapdesk is removed on every node

  Scenario: The write is applied but its answer is lost
    The store applies the write and the response is lost. The operator must be told "accepted".
    Given the store's next tree writes end as applied
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the change is accepted as revision 2
    And the tree was written 2 times

  Scenario: The write is lost and its answer too
    Given the store's next tree writes end as lost
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the change is accepted as revision 2
    And the tree was written 2 times

  Scenario: The write is applied late, after a read that did not show it
    The response is lost, and a read still shows the old tree. Only then is the write applied. If
    that read were taken as a rejection, a change would come into force that was reported as
    rejected.
    Given the store's next tree writes end as late
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the outcome reported matches the tree

  Scenario Outline: The answer is lost while another operator changes the same branch
    The result of the first write is unknown when the other operator's write arrives. Whichever the
    store applied first, each operator is told the result of his own change.
    Given the store's next tree writes end as <fate>
    And another operator at b sets slots to 12 in /services/mapdesk once the next write is lost
    When an operator at a sets slots = 11 in /services/mapdesk
    Then both outcomes reported match the tree
    And the tree was written 2 times

    Examples:
      | fate    |
      | applied |
      | lost    |
      | late    |

  Scenario: The answer is lost, and the read that follows is stale
    The write was applied, and its retry conflicts with it. The store then returns the old tree to
    reads; relying on one of these would report "rejected" for an accepted change.
    Given the store's next tree writes end as applied
    And reads are stale 3 times after the next tree write
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the change is accepted as revision 2
    And the tree was written 2 times

  Scenario Outline: A write whose answer is lost is resolved once the store is back
    The store goes down right after the write. Until it is back nobody can know the result.
    Given the store's next tree writes end as <fate>
    And the store goes down with the next tree write and is back after 40 s
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the change is accepted as revision 2
    And the tree was written 2 times
    And the operator was told that the result is not known yet

    Examples:
      | fate    |
      | applied |
      | lost    |

  Scenario: The operator's connection breaks while the change is in doubt
    Nobody waits for the result any more. If the change were cancelled, it would never be resolved.
    Given the store's next tree writes end as lost
    And the store goes down with the next tree write and is back after 10 s
    When an operator at a sets slots = 11 in /services/mapdesk and disconnects after 5 s
    And 20 s pass for the settings nodes
    Then every settings node has slots 11 for mapdesk

  Scenario: The same change asked for twice is made once
    The connection to the node breaks, and the operator repeats the request with the same change id.
    When an operator at a sets slots = 11 in /services/mapdesk
    And the operator asks for the same change again at b
    Then the change is accepted as revision 2
    And the tree was written 2 times

  Scenario: A change that begins with a stale read is made on top of the newest tree
    The service was created a moment ago and doesn't exist in a stale read. An edit checked against
    that read would be rejected for a conflict that doesn't exist.
    Given an operator at a creates /services/desk
    And the store answers the next 2 reads with its first state
    When an operator at a sets slots = 12 in /services/desk
    Then the change is accepted as revision 3
    And every settings node has slots 12 for desk

  Scenario: A member that can't be reached: rejected with its name, nothing written
    Given the settings node c is cut off from all
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the change is rejected with member-unreachable naming "c"
    And the tree was written 1 times

  Scenario: The asked node is cut off from the others, but not from the store
    The node considers all others dead, would ask nobody, and would report "in force everywhere"
    while the others go on by the old settings.
    Given the settings node c is cut off from its peers
    And the settings node a is found dead
    And the settings node b is found dead
    When an operator at c sets slots = 11 in /services/mapdesk
    Then the change is rejected with member-unreachable naming "2 of 3 announced nodes are not seen"
    And the tree was written 1 times

  Scenario: The asked node has just started and knows nobody yet
    Given no settings gossip
    And the settings node d joins and learns of the others 5 s later
    When an operator at d sets slots = 11 in /services/mapdesk
    Then the change is accepted as revision 2
    And every settings node has slots 11 for mapdesk

  Scenario: The operator insists although a member can't be reached, and is told who lags
    Given the settings node c is cut off from all
    When an operator at a insists on slots = 11 in /services/mapdesk
    Then the change is accepted as revision 2
    And the laggards are "c"

  Scenario: The store is down: rejected, and nothing is written later
    Given the settings store is down
    When an operator at a sets slots = 11 in /services/mapdesk
    Then the change is rejected with store-unavailable
    And 60 s after the store is back the tree was written 1 times

  Scenario: Going back is a new revision with the earlier text
    When an operator at a sets slots = 11 in /services/mapdesk
    And an operator at b rolls back to revision 1
    Then the change is accepted as revision 3
    And every settings node has slots 10 for mapdesk
    And the tree text contains "slots = 10 # measured in March"

  Scenario Outline: A change that isn't allowed is rejected and nothing is written
    When an operator at a sets <key> = <value> in <branch>
    Then the change is rejected with <code> naming "<words>"
    And the tree was written 1 times

    Examples:
      | key    | value | branch            | code         | words                |
      | slot   | 3     | /services/mapdesk | bad-settings | did you mean 'slots' |
      | slots  | 0     | /services/mapdesk | bad-settings | from 1 to 10000      |
      | slots  | 3     | /services/mapdisk | not-found    | did you mean 'mapdesk' |
      | slots  | 3     | services/mapdesk  | bad-settings | is not a branch      |
