"""A terminal plot of tail latencies by policy."""

from collections.abc import Sequence

import plotext

from bench.replay._run_result import RunResult

WIDTH = 90
ROWS_PER_BAR = 2
FRAME_ROWS = 5


def plot_tails(runs: Sequence[RunResult]) -> None:
    """Plot the p99 of the trace's first class for each policy, if there are several."""
    if len(runs) < 2:
        return
    label = runs[0].labels()[0]
    tails = [run.tally(label).latency_ms(99) for run in runs]
    figure = plotext.figure
    figure.clear()
    figure.plot_size(WIDTH, FRAME_ROWS + ROWS_PER_BAR * len(runs))
    figure.title(f"{runs[0].trace.name}: p99 of {label}, ms")
    names = [f"{run.policy} {tail:.0f}" for run, tail in zip(runs, tails, strict=True)]
    figure.draw(figure.bar(names, tails, orientation="horizontal"))
    figure.ruler("x").lim(0, max(tails))  # plotext's default limits may truncate the last bar
    figure.show(colorless=True)
