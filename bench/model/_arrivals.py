"""When callers come, to which data centre, and for what."""

import bisect
import itertools
import math
import random

import attrs

from bench.model._deployment import Deployment

# The rate follows a wave of this length, in seconds, at another point in each data centre.
WAVE_S = 11.0


@attrs.frozen(slots=True)
class Arrival:
    """The first try of one caller, ``at_s`` seconds after the traffic begins."""

    at_s: float
    data_centre: int
    kind: str
    request_id: str
    abusive: bool = False


def arrivals(deployment: Deployment, seed: int) -> list[Arrival]:
    """Return a day's arrivals, the same for the same seed whatever the nodes decide."""
    rng = random.Random(f"arrivals {deployment.name} {seed}")
    asked = [kind for kind in deployment.kinds if kind.rate]
    rates = list(itertools.accumulate(kind.rate for kind in asked))
    highest = deployment.rate_per_s * (1 + deployment.swing)
    highest *= max([1.0, *(each.factor for each in deployment.faults if each.kind == "burst")])
    found = []
    at_s = 0.0
    for number in itertools.count():
        at_s += rng.expovariate(highest)
        if at_s >= deployment.seconds:
            return found
        data_centre = rng.randrange(deployment.data_centres)
        kind = asked[bisect.bisect(rates, rng.random() * rates[-1])].name
        keeps, shifts, abuses = rng.random(), rng.random(), rng.random()
        if keeps * highest > rate_at(deployment, data_centre, at_s):
            continue
        if data_centre == 0 and shifts < strength(deployment, "shift", at_s):
            data_centre = deployment.data_centres - 1
        abusive = abuses < strength(deployment, "abuse", at_s)
        found.append(Arrival(at_s, data_centre, kind, f"{kind}/{number}", abusive))


def rate_at(deployment: Deployment, data_centre: int, at_s: float) -> float:
    """Return the requests a second of the whole deployment, by the wave of one data centre."""
    phase = 2 * math.pi * (at_s / WAVE_S + data_centre / deployment.data_centres)
    rate = deployment.rate_per_s * (1 + deployment.swing * math.sin(phase))
    for fault in deployment.faults:
        if fault.kind == "burst" and fault.at_s <= at_s < fault.at_s + fault.for_s:
            rate *= fault.factor
    return rate


def strength(deployment: Deployment, kind: str, at_s: float) -> float:
    """Return the share of callers that a fault of this kind concerns now."""
    return sum(
        fault.share
        for fault in deployment.faults
        if fault.kind == kind and fault.at_s <= at_s < fault.at_s + fault.for_s
    )
