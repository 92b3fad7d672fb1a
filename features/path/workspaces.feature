Feature: By our own interface, too, callers are known by their keys
  The nodes are real processes. The settings of the workspace acme hold the digest of the key
  "key-of-acme", a rate limit of 10 requests a second and a burst of 5; the path /open needs no key.

  Background:
    Given a mesh of 3 mapdesk nodes
      """
      revocation_s = 3.0
      [services.mapdesk]
      [services.mapdesk.routes."/tiles"]
      authentication = "key"
      [workspaces.acme]
      key_digests = ["sha256:689febd264f8b977e29c0fdb75f839eb248ba07d1561b14f2b95f42756943245"]
      requests_per_s = 10
      request_burst = 5
      """

  Scenario: Good keys are served, others are refused as not run
    Then by each node GET /tiles/1 gets
      | key             | status | outcome   |
      | key-of-acme     | 200    | completed |
      | key-of-nobody   | 401    | not-run   |
      |                 | 401    | not-run   |
    And by each node GET /open/1 gets
      | key             | status | outcome   |
      |                 | 200    | completed |

  Scenario: A workspace that sends more than it may is refused with 429
    When 60 requests with the key "key-of-acme" come within 2 s by all nodes
    Then between 18 and 42 of them completed, and the others got 429 as not run

  Scenario: An operator takes a key away, and sees who asks for what
    When 6 requests with the key "key-of-acme" come within 2 s by all nodes
    Then the mesh's command "workspaces list" prints "acme"
    And the mesh's command "workspaces show acme" prints "admitted"
    And the mesh's command "settings show" doesn't print "key-of-acme"
    When the mesh's command "settings set /workspaces/acme key_digests []" is given
    Then by each node GET /tiles/1 gets
      | key             | status | outcome   |
      | key-of-acme     | 401    | not-run   |
