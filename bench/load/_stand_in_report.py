"""What one backend server stand-in has done."""

from collections import Counter
from typing import Any

import attrs


@attrs.frozen(slots=True)
class StandInReport:
    """Executions by request id and by idempotency key, and the stand-in's statistics."""

    address: str
    requests: Counter[str]
    keys: Counter[str]
    stats: dict[str, Any]


def stand_in_report(address: str, raw: dict[str, Any]) -> StandInReport:
    """Return the report that a stand-in prints at its end or answers when asked."""
    return StandInReport(address, Counter(raw["requests"]), Counter(raw["keys"]), raw["stats"])
