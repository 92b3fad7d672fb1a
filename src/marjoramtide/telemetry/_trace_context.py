"""The W3C trace context of a request (https://www.w3.org/TR/trace-context/)."""

import random
import re

import attrs

TRACEPARENT_PATTERN = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?")
INVALID_VERSION = "ff"
VERSION = "00"
SAMPLED_FLAG = 0x01
SAMPLED_SUFFIXES = tuple("13579bdf")


@attrs.frozen(slots=True)
class TraceContext:
    """The trace that a request belongs to and its parent span."""

    trace_id: str
    span_id: str
    sampled: bool

    def traceparent(self) -> str:
        """Return the ``traceparent`` header."""
        return f"00-{self.trace_id}-{self.span_id}-{int(self.sampled):02x}"

    def child(self, rng: random.Random) -> "TraceContext":
        """Return the context of a new child span."""
        return TraceContext(self.trace_id, f"{rng.getrandbits(64):016x}", self.sampled)


def parse_traceparent(header: str) -> TraceContext | None:
    """Parse a ``traceparent`` header; return ``None`` if it is invalid."""
    match = TRACEPARENT_PATTERN.fullmatch(header)
    if match is None:
        return None
    version, trace_id, span_id, flags, additional_fields = match.groups()
    # Later versions may append fields; version 00 has none.
    if version == INVALID_VERSION or (version == VERSION and additional_fields):
        return None
    if not int(trace_id, 16) or not int(span_id, 16):
        return None
    return TraceContext(trace_id, span_id, bool(int(flags, 16) & SAMPLED_FLAG))


def is_sampled(header: str) -> bool:
    """Tell whether a valid ``traceparent`` has the sampled flag, by its last character alone."""
    return header.endswith(SAMPLED_SUFFIXES)


def new_trace(rng: random.Random, sampled: bool) -> TraceContext:
    """Return the context of a new trace."""
    return TraceContext(f"{rng.getrandbits(128):032x}", f"{rng.getrandbits(64):016x}", sampled)
