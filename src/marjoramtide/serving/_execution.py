"""A request between its admission and the end of its answer."""

import attrs

from marjoramtide.exchange import Request, RequestBody


@attrs.define(slots=True, eq=False)
class Execution:
    """One request at the backend server; ``begun`` once a byte of it may have left.

    ``arrived`` and ``started`` are in seconds of the monotonic clock.
    """

    ticket: int
    request: Request
    body: RequestBody
    arrived: float
    started: float = 0.0
    begun: bool = False

    def begin(self) -> None:
        """Note that from here on nobody can say that the request did not run."""
        self.begun = True
