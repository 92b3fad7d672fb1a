"""What the measured fleets say of a large one."""

import math
from collections.abc import Mapping, Sequence

import attrs

from bench.control import TARGET, Line, fit
from bench.fleet._measurement import PER_FLEET, PER_NODE, TIMES, Measurement
from bench.fleet._memory import Memory


@attrs.frozen(slots=True)
class Extrapolation:
    """A fitted line, its largest residual, and what it gives for ``TARGET`` nodes."""

    line: Line
    at_target: float


def extrapolate(found: Sequence[Measurement], target: int = TARGET) -> dict[str, Extrapolation]:
    """Fit each cost over the size of the fleet, and times over its logarithm."""
    sizes = [float(item.nodes) for item in found]
    logarithms = [math.log2(size) for size in sizes]

    def fitted(name: str, points: list[float], target: float) -> Extrapolation:
        line = fit(points, [getattr(item, name) for item in found])
        return Extrapolation(line, line.at(target))

    linear = {name: fitted(name, sizes, target) for name in (*PER_NODE, *PER_FLEET)}
    return linear | {name: fitted(name, logarithms, math.log2(target)) for name in TIMES}


def print_tables(
    found: Sequence[Measurement], lines: Mapping[str, Extrapolation], bare: Mapping[str, Memory]
) -> None:
    for name, memory in bare.items():
        sizes = "".join(f"{value:>10.1f}" for value in attrs.astuple(memory))
        print(f"{name:26}{sizes}  MB (RSS, PSS, USS)")
    print(f"\n{'':26}" + "".join(f"{item.nodes:>10}" for item in found))
    for field in attrs.fields(Measurement)[1:]:
        values = [getattr(item, field.name) for item in found]
        print(f"{field.name:26}" + "".join(f"{value:>10.3g}" for value in values))
    if lines:
        print(f"\n{'fit':26}{'slope':>12}{'intercept':>12}{'residual':>12}{f'at {TARGET}':>12}")
    for name, found_line in lines.items():
        values = (*attrs.astuple(found_line.line), found_line.at_target)
        print(f"{name:26}" + "".join(f"{value:>12.3g}" for value in values))
