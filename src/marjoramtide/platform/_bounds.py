"""The platform's figures, which a node's settings hold as a list of texts."""

from collections.abc import Iterable

import attrs


@attrs.frozen(slots=True)
class Bounds:
    """Those that a node goes by, in seconds, or as shares and numbers; ``None`` where not told.

    ``stop_grace_s`` is the time between the signal to stop and the end by force.
    ``retry_ratio`` and ``retry_slack`` bound the arrivals at a service beyond the first of each
    request, over ``retry_window_s``: a share of its requests, and a number besides.
    A key that was taken away opens nothing after ``revoke_ms``, told where that holds at any node.
    ``evacuation_ms`` is told where data centres can be evacuated. What reaches a cold backend
    server in any second is bounded by ``cold_excess`` times the rate that it bears, and
    ``cold_slack`` besides.
    """

    stop_grace_s: float | None = None
    retry_ratio: float | None = None
    retry_slack: float | None = None
    retry_window_s: float | None = None
    evacuation_ms: float | None = None
    cold_excess: float | None = None
    cold_slack: float | None = None
    revoke_ms: float | None = None


FIELDS = {
    "GraceS": "stop_grace_s",
    "RetryBudgetRatio": "retry_ratio",
    "RetryBudgetSlack": "retry_slack",
    "BudgetWindowS": "retry_window_s",
    "EvacuationMs": "evacuation_ms",
    "ColdExcess": "cold_excess",
    "ColdSlack": "cold_slack",
    "RevokeMs": "revoke_ms",
}
REVOKE_MS = "RevokeMs"
STRICT_REVOKE = "StrictRevoke=true"


def read_bounds(texts: Iterable[str]) -> Bounds:
    """Read ``name=value`` texts; names that a node doesn't go by are passed over.

    Raises ``ValueError`` for a text of another form and for a figure of ours that isn't a number.
    """
    texts = list(texts)
    if nameless := [text for text in texts if "=" not in text]:
        # Passed over, it would leave the node without any bound, and nobody would hear of it.
        raise ValueError(f"{', '.join(nameless)}; allowed: name=value")
    pairs = [text.partition("=")[::2] for text in texts]
    passed_over = set() if STRICT_REVOKE in texts else {REVOKE_MS}
    return Bounds(
        **{
            FIELDS[name]: float(value)
            for name, value in pairs
            if name in FIELDS.keys() - passed_over
        }
    )
