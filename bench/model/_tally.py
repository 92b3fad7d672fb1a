"""Outcomes of callers' requests and their aggregation."""

import attrs

from bench.model._deployment import Deployment

# Length of the windows among which ``worst`` finds the worst ones.
WINDOW_S = 2.0


@attrs.frozen(slots=True)
class RequestOutcome:
    """The outcome of one caller's request after all its attempts.

    ``took_ms`` counts from the first attempt; ``reason`` is empty for a successful response.
    """

    kind: str
    began_s: float
    took_ms: float
    reason: str = ""
    not_run: bool = False


@attrs.define(slots=True)
class SimulationResult:
    """The figures of one simulation.

    ``in_goal`` and ``kinds`` are earned worth as a share of the worth of all requests, ``worst`` is
    that share in the two worst windows. ``p99_ms`` is the 99th percentile of the response time as a
    multiple of the goal. ``reasons`` counts failures by kind and reason.
    """

    in_goal: float
    worst: float
    served: float
    refused: float
    failed: float
    p99_ms: float
    kinds: dict[str, float]
    reasons: dict[str, int]
    hedges: int = 0
    retries: int = 0
    runs: int = 0
    requests: int = 0


def summarise(deployment: Deployment, outcomes: list[RequestOutcome]) -> SimulationResult:
    """Aggregate the outcomes of all requests."""
    plans = {kind.name: kind for kind in deployment.kinds}
    owed: dict[str, float] = {}
    earned: dict[str, float] = {}
    windows: dict[int, list[float]] = {}
    reasons: dict[str, int] = {}
    served = refused = failed = 0
    times = []
    for outcome in outcomes:
        plan = plans[outcome.kind]
        worth = 0.0
        if outcome.reason:
            reasons[f"{outcome.kind} {outcome.reason}"] = (
                reasons.get(f"{outcome.kind} {outcome.reason}", 0) + 1
            )
            refused += outcome.not_run
            failed += not outcome.not_run
        else:
            served += 1
            times.append(outcome.took_ms / plan.goal_ms)
            worth = plan.worth if outcome.took_ms <= plan.goal_ms else plan.late_worth
        owed[outcome.kind] = owed.get(outcome.kind, 0.0) + plan.worth
        earned[outcome.kind] = earned.get(outcome.kind, 0.0) + worth
        window = windows.setdefault(int(outcome.began_s / WINDOW_S), [0.0, 0.0])
        window[0] += worth
        window[1] += plan.worth
    count = max(1, len(outcomes))
    times.sort()
    shares = sorted(gained / possible for gained, possible in windows.values() if possible)
    return SimulationResult(
        in_goal=sum(earned.values()) / max(1e-9, sum(owed.values())),
        worst=sum(shares[:2]) / max(1, len(shares[:2])),
        served=served / count,
        refused=refused / count,
        failed=failed / count,
        p99_ms=times[int(0.99 * len(times))] if times else 0.0,
        kinds={kind: earned[kind] / owed[kind] for kind in sorted(owed)},
        reasons=dict(sorted(reasons.items(), key=lambda each: -each[1])),
        requests=len(outcomes),
    )
