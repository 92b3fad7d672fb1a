"""Extrapolation from the measured fleets to a large one, and the printed tables."""

import math
from collections.abc import Mapping, Sequence

import attrs

from bench.control import TARGET, Line, fit
from bench.fleet._measurement import PER_FLEET, PER_NODE, TIMES, Measurement
from bench.fleet._memory import Memory


@attrs.frozen(slots=True)
class Extrapolation:
    """A fitted line and its value at the target size."""

    line: Line
    at_target: float


def extrapolate(
    measurements: Sequence[Measurement], target: int = TARGET
) -> dict[str, Extrapolation]:
    """Fit costs over the size of the fleet, and times over its logarithm."""
    sizes = [float(item.nodes) for item in measurements]
    logarithms = [math.log2(size) for size in sizes]

    def extrapolate_figure(name: str, points: list[float], target: float) -> Extrapolation:
        line = fit(points, [getattr(item, name) for item in measurements])
        return Extrapolation(line, line.at(target))

    linear = {name: extrapolate_figure(name, sizes, target) for name in (*PER_NODE, *PER_FLEET)}
    return linear | {
        name: extrapolate_figure(name, logarithms, math.log2(target)) for name in TIMES
    }


def print_tables(
    measurements: Sequence[Measurement],
    fits: Mapping[str, Extrapolation],
    bare: Mapping[str, Memory],
) -> None:
    for name, memory in bare.items():
        sizes = "".join(f"{value:>10.1f}" for value in attrs.astuple(memory))
        print(f"{name:26}{sizes}  MB (RSS, PSS, USS)")
    print(f"\n{'':26}" + "".join(f"{item.nodes:>10}" for item in measurements))
    for field in attrs.fields(Measurement)[1:]:
        values = [getattr(item, field.name) for item in measurements]
        print(f"{field.name:26}" + "".join(f"{value:>10.3g}" for value in values))
    if fits:
        print(f"\n{'fit':26}{'slope':>12}{'intercept':>12}{'residual':>12}{f'at {TARGET}':>12}")
    for name, extrapolation in fits.items():
        values = (*attrs.astuple(extrapolation.line), extrapolation.at_target)
        print(f"{name:26}" + "".join(f"{value:>12.3g}" for value in values))
