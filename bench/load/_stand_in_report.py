"""Execution reports of backend server stand-ins."""

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
    """Parse the report that a stand-in prints on exit and returns from its admin endpoint."""
    return StandInReport(address, Counter(raw["requests"]), Counter(raw["keys"]), raw["stats"])
