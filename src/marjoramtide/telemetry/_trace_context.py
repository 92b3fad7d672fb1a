"""The W3C trace context of a request (https://www.w3.org/TR/trace-context/)."""

import random
import re

import attrs

PATTERN = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?")
NO_VERSION = "ff"
VERSION = "00"
SAMPLED = 0x01
SAMPLED_ENDS = tuple("13579bdf")


@attrs.frozen(slots=True)
class TraceContext:
    """The trace a request belongs to and the span that caused it."""

    trace_id: str
    span_id: str
    sampled: bool

    def traceparent(self) -> str:
        """Return the ``traceparent`` value."""
        return f"00-{self.trace_id}-{self.span_id}-{int(self.sampled):02x}"

    def child(self, rng: random.Random) -> "TraceContext":
        """Return the context of a new span under this one."""
        return TraceContext(self.trace_id, f"{rng.getrandbits(64):016x}", self.sampled)


def parse_traceparent(header: str) -> TraceContext | None:
    """Return the context in a ``traceparent`` header, or ``None`` where it is not valid."""
    match = PATTERN.fullmatch(header)
    if match is None:
        return None
    version, trace_id, span_id, flags, more = match.groups()
    # Later versions may add fields at the end; ours has none.
    if version == NO_VERSION or (version == VERSION and more):
        return None
    if not int(trace_id, 16) or not int(span_id, 16):
        return None
    return TraceContext(trace_id, span_id, bool(int(flags, 16) & SAMPLED))


def is_sampled(header: str) -> bool:
    """Tell whether a valid ``traceparent`` asks for spans, without reading all of it."""
    return header.endswith(SAMPLED_ENDS)


def new_trace(rng: random.Random, sampled: bool) -> TraceContext:
    """Return the context of a trace that begins here."""
    return TraceContext(f"{rng.getrandbits(128):032x}", f"{rng.getrandbits(64):016x}", sampled)
