"""What a backend server says of its own load."""

import attrs


@attrs.frozen(slots=True)
class ServerLoad:
    """Its figures at one moment.

    ``slowdown`` is how many times longer work takes there now than usual, because of neighbours on
    its instance; 1 where it says nothing of that.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
