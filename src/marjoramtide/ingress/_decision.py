"""One choice of a serving node, as shown to operators."""

import attrs


@attrs.frozen(slots=True)
class Decision:
    """Which node an attempt was sent to, and its outcome.

    ``time`` is in seconds since the Unix epoch; ``elapsed_ms`` is measured from the choice to the
    end. ``believed`` is the selector's estimate of the node on which the choice was based, with the
    age of the report behind it. ``outcome`` is ``answered`` or an error code, ``detail`` the HTTP
    status or the error's message.
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
