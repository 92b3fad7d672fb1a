"""Recording of the spans of sampled requests at this node."""

import json
import random
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext

import attrs
import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.telemetry._span import Span
from marjoramtide.telemetry._trace_context import (
    TraceContext,
    is_sampled,
    new_trace,
    parse_traceparent,
)

MAX_RECENT_SPANS = 2048
NO_SPAN: AbstractContextManager[Span | None] = nullcontext()
# Bounds the cost of callers that set the sampled flag on each of their requests.
MAX_TRACES_PER_S = 50

log = structlog.get_logger()


class Tracer:
    """Writes one JSON line per span of a sampled trace, and retains recent spans for ``trace``.

    The lines go to ``trace_file`` if one is set, otherwise to the log.

    Head-based sampling: the first node decides by the caller's ``traceparent`` or by the
    ``trace_share`` setting, and the decision travels with the request, so that a trace is complete
    or absent.
    """

    def __init__(self, node: str, clock: Clock, rng: random.Random, trace_file: str = "") -> None:
        self.node = node
        self.clock = clock
        self.rng = rng
        self.recent_spans: deque[Span] = deque(maxlen=MAX_RECENT_SPANS)
        self.write_span = open_trace_file(trace_file) if trace_file else log_span
        self.current_second = 0
        self.traces_begun = 0

    def start_trace(self, header: str, sample_ratio: float) -> TraceContext:
        """Return the trace context of a caller's request, a new one if the header is not valid.

        Beyond ``MAX_TRACES_PER_S`` it is not sampled, regardless of the caller and the ratio.
        """
        context = parse_traceparent(header) or new_trace(self.rng, self.rng.random() < sample_ratio)
        if context.sampled and not self.allows_trace():
            return attrs.evolve(context, sampled=False)
        return context

    def allows_trace(self) -> bool:
        """Count a sampled trace that starts at this node; tell whether it is within the limit."""
        second = int(self.clock.monotonic())
        if second != self.current_second:
            self.current_second, self.traces_begun = second, 0
        self.traces_begun += 1
        return self.traces_begun <= MAX_TRACES_PER_S

    def span(self, name: str, header: str) -> AbstractContextManager[Span | None]:
        """Record the ``with`` block as a child span of the one in a ``traceparent`` header.

        Yields ``None`` if the trace is not sampled. This is the case for most requests, which only
        pay for the comparison of one character.
        """
        parent = parse_traceparent(header) if is_sampled(header) else None
        return NO_SPAN if parent is None else self.record(name, parent)

    @contextmanager
    def record(self, name: str, parent: TraceContext) -> Iterator[Span]:
        """Record the ``with`` block as a child span of ``parent``."""
        context = parent.child(self.rng)
        span = Span(
            context.trace_id,
            context.span_id,
            parent.span_id,
            name,
            self.node,
            self.clock.wall(),
        )
        started_at = self.clock.monotonic()
        try:
            yield span
        except BaseException as error:
            span.attributes["error"] = getattr(error, "code", type(error).__name__)
            raise
        finally:
            span.duration_ms = round((self.clock.monotonic() - started_at) * 1000, 3)
            self.recent_spans.append(span)
            self.write_span(span)

    def spans_of(self, trace_id: str) -> list[Span]:
        """Return the recent spans of a trace."""
        return [span for span in self.recent_spans if span.trace_id == trace_id]


def log_span(span: Span) -> None:
    """Write a span to the log."""
    log.info("span", **attrs.asdict(span))


def open_trace_file(path: str) -> Callable[[Span], None]:
    """Return a function that appends spans to a file; raises ``bad-settings`` on failure."""
    try:
        file = open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115 - open to the end
    except OSError as error:
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS, f"trace_file: {error}", step="telemetry.open"
        ) from error

    def append_span(span: Span) -> None:
        try:
            file.write(json.dumps({"event": "span", **attrs.asdict(span)}) + "\n")
        except OSError as error:
            # Otherwise a full disk would fail the request of this span after it has run.
            log.warning(
                "telemetry.span_lost",
                code=ErrorCode.INTERNAL,
                step="telemetry.span",
                peer="",
                reason=str(error),
            )

    return append_span
