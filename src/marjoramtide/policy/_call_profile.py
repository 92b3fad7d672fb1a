"""The part of a request that decisions depend on."""

import attrs


@attrs.frozen(slots=True)
class CallProfile:
    """What the policy must know of one request; ``deadline`` is in seconds of the monotonic clock."""

    urgent: bool
    idempotent: bool
    deadline: float
    attempt: int = 1
