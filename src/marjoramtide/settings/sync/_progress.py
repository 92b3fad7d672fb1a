"""What an operator is told while a change is made."""

from collections.abc import Callable

import attrs


@attrs.frozen(slots=True)
class Progress:
    """A step under way, in words for people, with the nodes it concerns."""

    step: str
    message: str
    nodes: tuple[str, ...] = ()


Report = Callable[[Progress], None]
