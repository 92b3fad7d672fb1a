"""One choice of a serving node, as operators are shown it."""

import attrs


@attrs.frozen(slots=True)
class Decision:
    """Which node a try went to and what became of it.

    ``time`` is in seconds since the Unix epoch; ``elapsed_ms`` counts from the choice to the end.
    ``believed`` is what the choice rested on, with the age of the report it came from.
    ``outcome`` is ``answered`` or the code of the error, ``detail`` the status or its message.
    """

    time: float
    node: str
    attempt: int
    urgent: bool
    idempotent: bool
    outcome: str
    detail: str
    elapsed_ms: float
    believed: dict[str, object] = attrs.Factory(dict)
