"""Logs, metrics and tracing."""

from marjoramtide.telemetry._exposition import make_metrics_app
from marjoramtide.telemetry._logs import configure_logs, log_output, report_suppressed_lines
from marjoramtide.telemetry._metrics import Metrics
from marjoramtide.telemetry._span import Span
from marjoramtide.telemetry._trace_context import TraceContext, new_trace, parse_traceparent
from marjoramtide.telemetry._tracer import Tracer

__all__ = [
    "Metrics",
    "Span",
    "TraceContext",
    "Tracer",
    "configure_logs",
    "log_output",
    "make_metrics_app",
    "new_trace",
    "parse_traceparent",
    "report_suppressed_lines",
]
