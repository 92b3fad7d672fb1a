"""Progress reports to the operator while a change is made."""

from collections.abc import Callable

import attrs


@attrs.frozen(slots=True)
class Progress:
    """A step in progress: a human-readable message and the nodes it concerns."""

    step: str
    message: str
    nodes: tuple[str, ...] = ()


ProgressCallback = Callable[[Progress], None]
