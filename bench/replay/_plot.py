"""A terminal plot of the tail of each policy."""

from collections.abc import Sequence

import plotext

from bench.replay._figures import Figures

WIDTH = 90
ROWS_PER_BAR = 2
FRAME_ROWS = 5


def plot_tails(runs: Sequence[Figures]) -> None:
    """Print the p99 of the trace's first class as one bar for each policy, if there are several."""
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
    figure.ruler("x").lim(0, max(tails))  # the library's own limits may cut the last bar off
    figure.show(colorless=True)
