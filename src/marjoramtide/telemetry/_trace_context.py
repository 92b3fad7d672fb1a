"""The W3C trace context of a request (https://www.w3.org/TR/trace-context/)."""

import random
import re

import attrs

# A later version may add fields at the end; ff is no version.
PATTERN = re.compile(
    r"(?:00|(?!00|ff)[0-9a-f]{2}(?=.{52}(?:-|$)))-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(?:-.*)?"
)
SAMPLED = 0x01


@attrs.frozen(slots=True)
class TraceContext:
    """The trace a request belongs to and the span that caused it."""

    trace_id: str
    span_id: str
    sampled: bool

    def header(self) -> str:
        """Return the ``traceparent`` value."""
        return f"00-{self.trace_id}-{self.span_id}-{int(self.sampled):02x}"

    def child(self, rng: random.Random) -> "TraceContext":
        """Return the context of a new span under this one."""
        return TraceContext(self.trace_id, f"{rng.getrandbits(64):016x}", self.sampled)


def read_trace(header: str) -> TraceContext | None:
    """Return the context in a ``traceparent`` header, or ``None`` where it is not valid."""
    match = PATTERN.fullmatch(header)
    if match is None or not int(match[1], 16) or not int(match[2], 16):
        return None
    return TraceContext(match[1], match[2], bool(int(match[3], 16) & SAMPLED))


def new_trace(rng: random.Random, sampled: bool) -> TraceContext:
    """Return the context of a trace that begins here."""
    return TraceContext(f"{rng.getrandbits(128):032x}", f"{rng.getrandbits(64):016x}", sampled)
