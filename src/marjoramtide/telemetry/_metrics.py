"""Counters and timings, aggregated in the process and sent as statsd datagrams once a second."""

import asyncio
import bisect
from collections import defaultdict

import statsd

FLUSH_S = 1.0
# Upper limits of the histograms' buckets, in milliseconds: about a factor of two apart, from a hop
# on a quiet machine to the longest deadlines.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1000, 2000, 5000)


class Histogram:
    """How many durations fell into each bucket, and their sum in milliseconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.total = 0.0

    def add(self, milliseconds: float) -> None:
        self.counts[bisect.bisect_left(BUCKETS_MS, milliseconds)] += 1
        self.total += milliseconds


class Metrics:
    """Collects until the next flush, so that telemetry costs a few datagrams a second.

    A timing is sent as its mean, maximum and count over the second; one datagram for each request
    would cost more than the request path itself. ``totals`` keeps counts since the start for the
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
        """Add to a counter."""
        self.counts[name] += number

    def timing(self, name: str, milliseconds: float) -> None:
        """Note one duration."""
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
        """Set a value that is sent as it stands."""
        self.gauges[name] = value

    def all_counts(self) -> dict[str, int]:
        """Return the counts since the start, those not yet flushed included."""
        names = self.totals.keys() | self.counts.keys()
        return {name: self.totals.get(name, 0) + self.counts.get(name, 0) for name in names}

    def flush(self) -> None:
        """Send what was collected, and begin anew."""
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
            for name, level in self.gauges.items():
                batch.gauge(name, level)

    async def run(self) -> None:
        """Flush once a second until cancelled, and once more then."""
        try:
            while True:
                await asyncio.sleep(FLUSH_S)
                self.flush()
        finally:
            self.flush()
