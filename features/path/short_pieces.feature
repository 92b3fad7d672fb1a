Feature: Short pieces of a body cost their bytes, not an object each

  Scenario: A peer sends a window full of single bytes
    # Guards against a body that takes forty times its size at a node that can't pass it on yet.
    Given a stream of which nothing is consumed
    When 262144 pieces of one byte arrive on it
    Then they take at most 600000 bytes of memory
    And they are consumed in order, with credit for each byte
