"""The mechanisms whose effect is measured by disabling them one at a time."""

from bench.model._mechanism import Mechanism

POLICY = "marjoramtide.policy"
PACE = f"{POLICY}.pace._pace"
PLACEMENT = f"{POLICY}.placing"
FORECAST = f"{PLACEMENT}._forecast_selector"
PREDICTED = f"{PLACEMENT}._predicted_selector"
ADMISSION = f"{POLICY}.admission._edf_admission"
ESTIMATES = f"{POLICY}.admission._run_estimates"
TIMES = f"{POLICY}.admission._execution_times"
INGRESS = "marjoramtide.ingress"

RETURN_NONE = "lambda *args, **kwargs: None"
RETURN_FALSE = "lambda *args, **kwargs: False"
RETURN_EMPTY_LIST = "lambda *args, **kwargs: []"
RETURN_ZERO = "lambda *args, **kwargs: 0.0"
RETURN_ONE = "lambda *args, **kwargs: 1.0"

MECHANISMS = (
    Mechanism("wait for the server's pace", PACE, "Pace.should_wait", RETURN_FALSE),
    Mechanism(
        "follow the grid of changes", f"{POLICY}.pace._interference", "fit_grid", RETURN_NONE
    ),
    Mechanism(
        "length of slow stretches",
        f"{POLICY}.pace._duration_history",
        "DurationHistory.remaining_s",
        RETURN_ZERO,
    ),
    Mechanism(
        "turn first tries away while slow", ESTIMATES, "RunEstimates.misses_goal", RETURN_FALSE
    ),
    Mechanism(
        "ask again where none is quicker",
        f"{INGRESS}._dispatcher",
        "Dispatcher.choose_slowed_node",
        RETURN_NONE,
    ),
    Mechanism(
        "tell others of each change of pace", FORECAST, "ForecastSelector.reported", RETURN_NONE
    ),
    Mechanism("silence of a server", TIMES, "ExecutionTimes.silence_ms", RETURN_ZERO),
    Mechanism("hand back in a stall", TIMES, "ExecutionTimes.stalls_at", RETURN_NONE),
    Mechanism("silence of a node", f"{PLACEMENT}._node_view", "NodeView.stalled_ms", RETURN_ZERO),
    Mechanism(
        "goal before deadline",
        ESTIMATES,
        "RunEstimates.due",
        "lambda self, profile, now: profile.deadline",
    ),
    Mechanism("rank order", f"{POLICY}.admission._queue_priority", "RANK_STEP_S", "0.0"),
    Mechanism(
        "calls first in their rank",
        "marjoramtide.exchange._request",
        "Request.is_call",
        f"property({RETURN_FALSE})",
    ),
    Mechanism(
        "calls ranked as their parents",
        f"{INGRESS}._nested_calls",
        "NestedCalls.inherit_from_parent",
        "lambda self, request: None",
    ),
    Mechanism(
        "time kept for longer requests",
        f"{POLICY}.admission._kind_times",
        "PLANNED_DEVIATIONS",
        "0.0",
    ),
    Mechanism(
        "share of what goes first in a wait",
        f"{POLICY}.admission._priority_shares",
        "PriorityShares.share_ahead",
        RETURN_ZERO,
    ),
    Mechanism(
        "routine work pushed back is dropped",
        ADMISSION,
        "EdfAdmission._drop_displaced",
        RETURN_EMPTY_LIST,
    ),
    Mechanism(
        "first limit below the slots",
        f"{POLICY}.admission._knee_limiter",
        "INITIAL_LIMIT_SHARE",
        "1.0",
    ),
    Mechanism(
        "knee limit",
        f"{POLICY}.admission._knee_limiter",
        "KneeLimiter.limit",
        "property(lambda self: self.slots)",
    ),
    Mechanism(
        "what a server has said that it takes",
        f"{POLICY}.admission._requested_rate_limiter",
        "RequestedRateLimiter.set_rate",
        RETURN_NONE,
    ),
    Mechanism(
        "turn first tries away by a named limit",
        ADMISSION,
        "EdfAdmission._excessive_wait_ms",
        RETURN_ZERO,
    ),
    Mechanism(
        "slots told of by a named limit",
        f"{POLICY}.admission._requested_rate_limiter",
        "RequestedRateLimiter.concurrency",
        "lambda self, service_ms, now: float('inf')",
    ),
    Mechanism("own bonus", FORECAST, "LOCAL_LOAD_BONUS", "0.0"),
    Mechanism("jitter of loads", FORECAST, "LOAD_JITTER", "0.0"),
    Mechanism("slowed nodes last", FORECAST, "SLOWED_FACTOR", "1e9"),
    Mechanism("stragglers", FORECAST, "ForecastSelector._straggler_factor", RETURN_ONE),
    Mechanism(
        "usual pace of unknown nodes", FORECAST, "ForecastSelector._service_slowdown", RETURN_ONE
    ),
    Mechanism(
        "no second ask of full nodes",
        FORECAST,
        "ForecastSelector._accepts_any_answer",
        "lambda *args: True",
    ),
    Mechanism(
        "own data centre first", PREDICTED, "PredictedSelector._tier", "lambda self, member: 0"
    ),
    Mechanism(
        "outlier ejection", f"{PLACEMENT}._outlier_ejection", "OutlierEjection.record", RETURN_NONE
    ),
    Mechanism("explorer", f"{PLACEMENT}._explorer", "Explorer.pick", RETURN_NONE),
    Mechanism("sound nodes first", FORECAST, "ForecastSelector._is_healthy", "lambda *args: True"),
    Mechanism("hedges", f"{INGRESS}._service_state", "ServiceState.may_hedge", RETURN_FALSE),
    Mechanism("first moments", f"{INGRESS}._startup_grace", "STARTUP_GRACE_S", "0.0"),
    Mechanism(
        "places dealt to refused callers",
        f"{POLICY}.budgets._retry_after_hint",
        "RetryAfterHint.next_ms",
        "lambda self, base_ms, rate_per_s, now: max(1, round(base_ms))",
    ),
    Mechanism("spread of come-back hints", f"{INGRESS}._attempts", "RETRY_AFTER_JITTER", "1.0"),
)
