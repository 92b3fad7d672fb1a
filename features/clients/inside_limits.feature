Feature: No client inside the limits meets the bounds that others do

  Scenario Outline: A body of <size> bytes in chunks of <chunk> bytes, of the <protocol> protocol
    # Guards against a bound on chunks, or on what frames them, that a whole body meets.
    Given nodes of the <protocol> protocol at a tenth of a machine's limits
    When a client sends a body of <size> bytes in chunks of <chunk> bytes for <service>
    Then its request succeeds, with the whole body

    Examples:
      | protocol | service    | size    | chunk   |
      | own      | mapdesk    | 100000  | 1       |
      | platform | licencehub | 100000  | 1       |
      | own      | licencehub | 1048576 | 100     |
      | platform | mapdesk    | 1048576 | 100     |
      | own      | mapdesk    | 1048576 | 1048576 |
      | platform | licencehub | 1048576 | 1048576 |

  Scenario Outline: A large head of the <protocol> protocol, after an idle time
    # Guards against a bound on heads below the one that is set, and on idle connections before
    # four fifths of their timeout.
    Given nodes of the <protocol> protocol at a tenth of a machine's limits
    When a client sends two requests with heads of 16000 bytes, four fifths of the idle timeout apart
    Then both requests succeed

    Examples:
      | protocol |
      | own      |
      | platform |
