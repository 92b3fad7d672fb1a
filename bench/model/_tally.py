"""What callers got."""

import attrs

from bench.model._deployment import Deployment

# Of this length, in seconds, are the stretches of which the worst is looked for.
WINDOW_S = 2.0


@attrs.frozen(slots=True)
class RequestEnd:
    """What became of one request of a caller, its repetitions included.

    ``took_ms`` counts from the first try; ``reason`` is empty where there was an answer.
    """

    kind: str
    began_s: float
    took_ms: float
    reason: str = ""
    not_run: bool = False


@attrs.define(slots=True)
class Tally:
    """The figures of one play: shares of what was owed, the worst seconds, and reasons."""

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


def tally(deployment: Deployment, ends: list[RequestEnd]) -> Tally:
    """Add up what callers got."""
    plans = {kind.name: kind for kind in deployment.kinds}
    owed: dict[str, float] = {}
    earned: dict[str, float] = {}
    windows: dict[int, list[float]] = {}
    reasons: dict[str, int] = {}
    served = refused = failed = 0
    times = []
    for end in ends:
        plan = plans[end.kind]
        worth = 0.0
        if end.reason:
            reasons[f"{end.kind} {end.reason}"] = reasons.get(f"{end.kind} {end.reason}", 0) + 1
            refused += end.not_run
            failed += not end.not_run
        else:
            served += 1
            times.append(end.took_ms / plan.goal_ms)
            worth = plan.worth if end.took_ms <= plan.goal_ms else plan.late_worth
        owed[end.kind] = owed.get(end.kind, 0.0) + plan.worth
        earned[end.kind] = earned.get(end.kind, 0.0) + worth
        window = windows.setdefault(int(end.began_s / WINDOW_S), [0.0, 0.0])
        window[0] += worth
        window[1] += plan.worth
    count = max(1, len(ends))
    times.sort()
    shares = sorted(got / due for got, due in windows.values() if due)
    return Tally(
        in_goal=sum(earned.values()) / max(1e-9, sum(owed.values())),
        worst=sum(shares[:2]) / max(1, len(shares[:2])),
        served=served / count,
        refused=refused / count,
        failed=failed / count,
        p99_ms=times[int(0.99 * len(times))] if times else 0.0,
        kinds={kind: earned[kind] / owed[kind] for kind in sorted(owed)},
        reasons=dict(sorted(reasons.items(), key=lambda each: -each[1])),
        requests=len(ends),
    )
