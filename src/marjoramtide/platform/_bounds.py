"""The platform's limits, which a node's settings contain as a list of texts."""

from collections.abc import Iterable

import attrs


@attrs.frozen(slots=True)
class Bounds:
    """The limits that a node observes; ``None`` if not set.

    ``stop_grace_s`` is the time from the stop signal until the process is killed. The arrivals at a
    service beyond the first attempt of each request are limited, over ``retry_window_s``, to
    ``retry_ratio`` of its requests plus ``retry_slack``. A revoked key is accepted nowhere after
    ``revoke_ms``, set if that must hold at any node. ``evacuation_ms`` is set if data centres can
    be evacuated. The requests that a cold backend server gets in any second are limited to
    ``cold_excess`` times the rate that it can sustain, plus ``cold_slack``.
    """

    stop_grace_s: float | None = None
    retry_ratio: float | None = None
    retry_slack: float | None = None
    retry_window_s: float | None = None
    evacuation_ms: float | None = None
    cold_excess: float | None = None
    cold_slack: float | None = None
    revoke_ms: float | None = None


BOUND_FIELDS = {
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
    """Read ``name=value`` texts; names that a node does not use are ignored.

    Raises ``ValueError`` for a text of another form and for a value in use that is not a number.
    """
    texts = list(texts)
    if unnamed := [text for text in texts if "=" not in text]:
        # If it were ignored, the node would run without the limit and nobody would notice.
        raise ValueError(f"{', '.join(unnamed)}; allowed: name=value")
    pairs = [text.partition("=")[::2] for text in texts]
    ignored = set() if STRICT_REVOKE in texts else {REVOKE_MS}
    return Bounds(
        **{
            BOUND_FIELDS[name]: float(value)
            for name, value in pairs
            if name in BOUND_FIELDS.keys() - ignored
        }
    )
