"""The settings of one route, resolved through the tree."""

import attrs


@attrs.frozen(slots=True)
class RouteSettings:
    """All values that the handling of one request depends on.

    Units are in the names: ``_ms`` milliseconds, ``_s`` seconds, ``_bytes`` bytes; budgets and
    shares are fractions of 1. A route is the longest configured path prefix that matches.
    """

    service: str = ""
    route: str = "/"
    # Requests
    unmatched: str = "serve"  # serve | refuse
    split: tuple[tuple[str, int], ...] = ()
    rank: int = 0
    goal_ms: int = 0  # 0: not known
    timeout_ms: int = 1000
    max_timeout_ms: int = 10000
    max_depth: int = 20
    idempotent: str = "method"  # method | yes | no
    priority: str = "caller"  # caller | urgent | routine
    max_body_bytes: int = 8 * 1024 * 1024
    # Callers
    authentication: str = "none"  # none | key
    # Capacity of one backend server
    slots: int = 10
    urgent_slots: int = 1
    connections: int = 250
    queue_limit: int = 40
    limiter: str = "adaptive"  # adaptive | fixed | knee
    min_limit: int = 0  # 0: half of the slots
    # Cold start of backend servers
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0  # 0: not known, limited by slots only
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    # Selection of a backend server
    selector: str = "predicted"
    choices: int = 3
    ejection_cap: float = 0.34
    slow_start_s: float = 10.0
    spill_over: float = 1.0  # penalty of another data centre, in network hops
    # Retries and hedged requests
    max_attempts: int = 3
    max_asks: int = 0  # 0: as many as max_attempts
    second_try_ratio: float = 0.0  # 0: no limit for all nodes together
    second_tries_per_s: float = 0.0
    retry_budget: float = 0.1
    rejection_budget: float = 0.5
    hedge_budget: float = 0.02
    hedge_quantile: float = 0.95
    # Quarantine of requests that crash backend servers
    quarantine_after: int = 2  # crashes of backend servers; 0: never
    quarantine_s: float = 60.0
    # Health checks
    health_path: str = "/health"
    measuring_per_s: float = 1.0
    measuring_share: float = 0.005
    # Claims for requests with an Idempotency-Key
    claim_retention_s: float = 86400.0
    claims_when_store_down: str = "refuse"  # refuse | run
    # Telemetry
    trace_share: float = 0.01
