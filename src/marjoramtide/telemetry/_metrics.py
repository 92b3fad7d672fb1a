"""Counters and timings, aggregated in the process and sent to statsd once a second."""

import asyncio
import bisect
from collections import defaultdict

import statsd

FLUSH_INTERVAL_S = 1.0
# Upper bounds of the histogram buckets, in milliseconds: about a factor of two apart, from a hop
# between nodes on an idle machine to the longest request deadlines.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1000, 2000, 5000)


class Histogram:
    """The number of durations in each bucket, and their sum in milliseconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.total_ms = 0.0

    def add(self, milliseconds: float) -> None:
        self.counts[bisect.bisect_left(BUCKETS_MS, milliseconds)] += 1
        self.total_ms += milliseconds


class Metrics:
    """Aggregates metrics between flushes, so that telemetry costs a few datagrams a second.

    A timing is sent as its mean, maximum and count over the second; a datagram per request would
    cost more than the request path itself. ``totals`` holds the counters since the start for the
    operators' API.
    """

    def __init__(self, address: str = "", prefix: str = "marjoramtide") -> None:
        host, _, port = address.rpartition(":")
        self.client = statsd.StatsClient(host, int(port), prefix=prefix) if address else None
        self.counts: defaultdict[str, int] = defaultdict(int)
        self.totals: defaultdict[str, int] = defaultdict(int)
        self.timings: dict[str, list[float]] = {}
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, Histogram] = {}

    def count(self, name: str, number: int = 1) -> None:
        """Increment a counter."""
        self.counts[name] += number

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.add(milliseconds)
        entry = self.timings.get(name)
        if entry is None:
            self.timings[name] = [1, milliseconds, milliseconds]
            return
        entry[0] += 1
        entry[1] += milliseconds
        entry[2] = max(entry[2], milliseconds)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def all_counts(self) -> dict[str, int]:
        """Return the counters since the start, including those not flushed yet."""
        names = self.totals.keys() | self.counts.keys()
        return {name: self.totals.get(name, 0) + self.counts.get(name, 0) for name in names}

    def flush(self) -> None:
        """Send the collected metrics and reset the counters and timings."""
        counts, self.counts = self.counts, defaultdict(int)
        timings, self.timings = self.timings, {}
        for name, number in counts.items():
            self.totals[name] += number
        if self.client is None:
            return
        with self.client.pipeline() as batch:
            for name, number in counts.items():
                batch.incr(name, number)
            for name, (calls, total, largest) in timings.items():
                batch.timing(f"{name}.mean", total / calls)
                batch.timing(f"{name}.max", largest)
                batch.incr(f"{name}.count", int(calls))
            for name, value in self.gauges.items():
                batch.gauge(name, value)

    async def run(self) -> None:
        """Flush once a second until cancelled, and a last time then."""
        try:
            while True:
                await asyncio.sleep(FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()
