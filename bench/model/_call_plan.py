"""Nested requests that a running request sends."""

import attrs

from bench.model._neighbours import between


@attrs.frozen(slots=True)
class CallPlan:
    """``times`` nested requests of ``kind``, sent by a ``share`` of the requests.

    They are sent after the request's own work, concurrently if ``together`` and otherwise in
    sequence. The request holds its slot until they are answered, and fails if one of them fails.
    """

    kind: str
    times: int = attrs.field(default=1, validator=between(1, 20))
    share: float = attrs.field(default=1.0, validator=between(0.0, 1.0))
    together: bool = True
