"""Calls that a running request makes."""

import attrs

from bench.model._neighbours import between


@attrs.frozen(slots=True)
class CallPlan:
    """``times`` calls of ``kind``, made by a ``share`` of the requests.

    They follow the request's own work, all ``together`` or one after the other, and the request
    holds its slot until they are answered. A request whose call fails has failed.
    """

    kind: str
    times: int = attrs.field(default=1, validator=between(1, 20))
    share: float = attrs.field(default=1.0, validator=between(0.0, 1.0))
    together: bool = True
