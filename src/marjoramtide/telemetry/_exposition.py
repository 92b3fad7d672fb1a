"""Counters, histograms and gauges as text, for whoever scrapes them."""

import re
from collections.abc import Callable, Iterator

from aiohttp import web

from marjoramtide.telemetry._metrics import BUCKETS_MS, Metrics

PREFIX = "marjoramtide_"
NOT_ALLOWED = re.compile(r"[^a-z0-9_]+")


def exposition(metrics: Metrics) -> str:
    """Return all metrics in the text format that Prometheus reads.

    A library for it would bring a registry beside the one that the request path writes to; the
    format is three kinds of lines.
    """
    return "".join(f"{line}\n" for line in _lines(metrics))


def _lines(metrics: Metrics) -> Iterator[str]:
    for name, number in sorted(metrics.all_counts().items()):
        yield f"# TYPE {_name(name)}_total counter"
        yield f"{_name(name)}_total {number}"
    for name, level in sorted(metrics.gauges.items()):
        yield f"# TYPE {_name(name)} gauge"
        yield f"{_name(name)} {level:g}"
    for name, histogram in sorted(metrics.histograms.items()):
        own = f"{_name(name)}_ms"
        yield f"# TYPE {own} histogram"
        counted = 0
        for limit, number in zip((*BUCKETS_MS, "+Inf"), histogram.counts, strict=True):
            counted += number
            yield f'{own}_bucket{{le="{limit}"}} {counted}'
        yield f"{own}_sum {histogram.total:g}"
        yield f"{own}_count {counted}"


def _name(name: str) -> str:
    return PREFIX + NOT_ALLOWED.sub("_", name.lower())


def make_metrics_app(metrics: Metrics, refresh: Callable[[], None]) -> web.Application:
    """Return the application that serves the metrics under any path.

    ``refresh`` is called before each answer, to set the gauges.
    """

    async def answer(_: web.Request) -> web.Response:
        refresh()
        return web.Response(text=exposition(metrics))

    app = web.Application()
    app.router.add_get("/{path:.*}", answer)
    return app
