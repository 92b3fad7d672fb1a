"""Spans of the requests that pass through this node."""

import random
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import structlog

from marjoramtide.clock import Clock
from marjoramtide.telemetry._span import Span
from marjoramtide.telemetry._trace_context import TraceContext, new_trace, read_trace

KEPT_SPANS = 2048

log = structlog.get_logger()


class Tracer:
    """Writes one JSON line for each span of a sampled trace and keeps the last for ``trace``.

    Whether a trace is sampled is decided where it begins, by the caller's ``traceparent`` or by the
    share in the settings, and travels with the request: a trace is whole or absent.
    """

    def __init__(self, node: str, clock: Clock, rng: random.Random) -> None:
        self.node = node
        self.clock = clock
        self.rng = rng
        self.kept: deque[Span] = deque(maxlen=KEPT_SPANS)

    def begin(self, header: str, share: float) -> TraceContext:
        """Return the context of a caller's request, new where it brings none."""
        return read_trace(header) or new_trace(self.rng, self.rng.random() < share)

    @contextmanager
    def span(self, name: str, parent: TraceContext) -> Iterator[Span | None]:
        """Record what runs inside as a span; yields ``None`` where the trace is not sampled."""
        if not parent.sampled:
            yield None
            return
        context = parent.child(self.rng)
        span = Span(
            context.trace_id,
            context.span_id,
            parent.span_id,
            name,
            self.node,
            self.clock.wall(),
        )
        started = self.clock.monotonic()
        try:
            yield span
        except BaseException as error:
            span.attributes["error"] = getattr(error, "code", type(error).__name__)
            raise
        finally:
            span.duration_ms = round((self.clock.monotonic() - started) * 1000, 3)
            self.kept.append(span)
            log.info("span", **attrs.asdict(span))

    def spans_of(self, trace_id: str) -> list[Span]:
        """Return the spans kept of one trace."""
        return [span for span in self.kept if span.trace_id == trace_id]
