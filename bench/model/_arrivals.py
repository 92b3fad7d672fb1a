"""Arrivals of callers' requests: time, data centre and kind."""

import bisect
import itertools
import math
import random

import attrs

from bench.model._deployment import Deployment

# Period of the sine that the rate follows; its phase differs between data centres.
RATE_PERIOD_S = 11.0


@attrs.frozen(slots=True)
class Arrival:
    """The first attempt of one caller, ``at_s`` seconds after the start of the traffic."""

    at_s: float
    data_centre: int
    kind: str
    request_id: str
    abusive: bool = False


def draw_arrivals(deployment: Deployment, seed: int) -> list[Arrival]:
    """Return the arrivals of a simulation; they depend on the seed, not on the nodes' decisions."""
    rng = random.Random(f"arrivals {deployment.name} {seed}")
    requested_kinds = [kind for kind in deployment.kinds if kind.rate]
    cumulative_rates = list(itertools.accumulate(kind.rate for kind in requested_kinds))
    peak_rate = deployment.rate_per_s * (1 + deployment.swing)
    peak_rate *= max([1.0, *(each.factor for each in deployment.faults if each.kind == "burst")])
    found = []
    at_s = 0.0
    for number in itertools.count():
        at_s += rng.expovariate(peak_rate)
        if at_s >= deployment.seconds:
            return found
        data_centre = rng.randrange(deployment.data_centres)
        kind = requested_kinds[
            bisect.bisect(cumulative_rates, rng.random() * cumulative_rates[-1])
        ].name
        thinning_draw, shift_draw, abuse_draw = rng.random(), rng.random(), rng.random()
        if thinning_draw * peak_rate > rate_at(deployment, data_centre, at_s):
            continue
        if data_centre == 0 and shift_draw < fault_share_at(deployment, "shift", at_s):
            data_centre = deployment.data_centres - 1
        abusive = abuse_draw < fault_share_at(deployment, "abuse", at_s)
        found.append(Arrival(at_s, data_centre, kind, f"{kind}/{number}", abusive))


def rate_at(deployment: Deployment, data_centre: int, at_s: float) -> float:
    """Return the request rate of the whole deployment at the phase of one data centre."""
    phase = 2 * math.pi * (at_s / RATE_PERIOD_S + data_centre / deployment.data_centres)
    rate = deployment.rate_per_s * (1 + deployment.swing * math.sin(phase))
    for fault in deployment.faults:
        if fault.kind == "burst" and fault.at_s <= at_s < fault.at_s + fault.for_s:
            rate *= fault.factor
    return rate


def fault_share_at(deployment: Deployment, kind: str, at_s: float) -> float:
    """Return the share of callers that faults of this kind affect at ``at_s``."""
    return sum(
        fault.share
        for fault in deployment.faults
        if fault.kind == kind and fault.at_s <= at_s < fault.at_s + fault.for_s
    )
