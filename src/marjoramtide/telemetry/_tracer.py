"""Spans of the requests that pass through this node."""

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

KEPT_SPANS = 2048
NO_SPAN: AbstractContextManager[Span | None] = nullcontext()
# A caller may ask for a trace of each of its requests; what that may cost a node is bounded here.
MAX_TRACES_PER_S = 50

log = structlog.get_logger()


class Tracer:
    """Writes one JSON line for each span of a sampled trace and keeps the last for ``trace``.

    The lines go to ``trace_file`` where one is named, else among the logs.

    Whether a trace is sampled is decided where it begins, by the caller's ``traceparent`` or by the
    share in the settings, and travels with the request: a trace is whole or absent.
    """

    def __init__(self, node: str, clock: Clock, rng: random.Random, trace_file: str = "") -> None:
        self.node = node
        self.clock = clock
        self.rng = rng
        self.kept: deque[Span] = deque(maxlen=KEPT_SPANS)
        self.sink = open_sink(trace_file) if trace_file else log_span
        self.second = 0
        self.begun = 0

    def start_trace(self, header: str, share: float) -> TraceContext:
        """Return the context of a caller's request, new where it brings none.

        Beyond ``MAX_TRACES_PER_S`` it is not sampled, whatever the caller or the share says.
        """
        context = parse_traceparent(header) or new_trace(self.rng, self.rng.random() < share)
        if context.sampled and not self.may_begin():
            return attrs.evolve(context, sampled=False)
        return context

    def may_begin(self) -> bool:
        """Count a trace that begins at this node."""
        second = int(self.clock.monotonic())
        if second != self.second:
            self.second, self.begun = second, 0
        self.begun += 1
        return self.begun <= MAX_TRACES_PER_S

    def span(self, name: str, header: str) -> AbstractContextManager[Span | None]:
        """Record what runs inside as a span under the one that ``header`` names.

        Gives ``None`` where the trace is not sampled, which is most requests: they pay for the
        look at one character.
        """
        parent = parse_traceparent(header) if is_sampled(header) else None
        return NO_SPAN if parent is None else self.record(name, parent)

    @contextmanager
    def record(self, name: str, parent: TraceContext) -> Iterator[Span]:
        """Record what runs inside as a span under ``parent``."""
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
            self.sink(span)

    def spans_of(self, trace_id: str) -> list[Span]:
        """Return the spans kept of one trace."""
        return [span for span in self.kept if span.trace_id == trace_id]


def log_span(span: Span) -> None:
    """Write a span among the logs."""
    log.info("span", **attrs.asdict(span))


def open_sink(path: str) -> Callable[[Span], None]:
    """Return what appends spans to a file; raises ``bad-settings`` where it can't be opened."""
    try:
        file = open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115 - open to the end
    except OSError as error:
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS, f"trace_file: {error}", step="telemetry.open"
        ) from error

    def write(span: Span) -> None:
        try:
            file.write(json.dumps({"event": "span", **attrs.asdict(span)}) + "\n")
        except OSError as error:
            # A full disk would else fail the request whose span this is, after it has run.
            log.warning(
                "telemetry.span_lost",
                code=ErrorCode.INTERNAL,
                step="telemetry.span",
                peer="",
                reason=str(error),
            )

    return write
