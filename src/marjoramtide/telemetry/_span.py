"""A tracing span: the processing of one request at one hop."""

from typing import Any

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class Span:
    """A span as it is logged; ``start`` is in seconds since the Unix epoch."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    node: str
    start: float
    duration_ms: float = 0.0
    attributes: dict[str, Any] = attrs.Factory(dict)

    def traceparent(self) -> str:
        """Return the ``traceparent`` header that makes this span the parent at the next hop."""
        return f"00-{self.trace_id}-{self.span_id}-01"
