"""Counters, histograms and gauges in the Prometheus text format."""

import re
from collections.abc import Callable, Iterator

from aiohttp import web

from marjoramtide.telemetry._metrics import BUCKETS_MS, Metrics

METRIC_PREFIX = "marjoramtide_"
INVALID_CHARACTERS = re.compile(r"[^a-z0-9_]+")


def format_exposition(metrics: Metrics) -> str:
    """Return all metrics in the Prometheus text exposition format.

    A client library would add a second registry to the one that the request path writes to, and
    the format has only three kinds of lines.
    """
    return "".join(f"{line}\n" for line in _lines(metrics))


def _lines(metrics: Metrics) -> Iterator[str]:
    for name, number in sorted(metrics.all_counts().items()):
        yield f"# TYPE {_metric_name(name)}_total counter"
        yield f"{_metric_name(name)}_total {number}"
    for name, value in sorted(metrics.gauges.items()):
        yield f"# TYPE {_metric_name(name)} gauge"
        yield f"{_metric_name(name)} {value:g}"
    for name, histogram in sorted(metrics.histograms.items()):
        metric = f"{_metric_name(name)}_ms"
        yield f"# TYPE {metric} histogram"
        cumulative = 0
        for upper_bound, number in zip((*BUCKETS_MS, "+Inf"), histogram.counts, strict=True):
            cumulative += number
            yield f'{metric}_bucket{{le="{upper_bound}"}} {cumulative}'
        yield f"{metric}_sum {histogram.total_ms:g}"
        yield f"{metric}_count {cumulative}"


def _metric_name(name: str) -> str:
    return METRIC_PREFIX + INVALID_CHARACTERS.sub("_", name.lower())


def make_metrics_app(metrics: Metrics, refresh_gauges: Callable[[], None]) -> web.Application:
    """Return the HTTP application that serves the metrics at every path.

    ``refresh_gauges`` is called before each response.
    """

    async def respond(_: web.Request) -> web.Response:
        refresh_gauges()
        return web.Response(text=format_exposition(metrics))

    app = web.Application()
    app.router.add_get("/{path:.*}", respond)
    return app
