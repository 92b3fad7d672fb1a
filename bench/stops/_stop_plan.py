"""The plan of a test with a suspended fleet."""

from typing import Any

import attrs


@attrs.frozen(slots=True)
class StopPlan:
    """A mesh of ``nodes`` nodes, all of which are suspended at once for ``stop_s`` seconds.

    ``store`` are faults of the store from a second before the suspension on.
    """

    nodes: int = 12
    stop_s: float = 0.6
    store: dict[str, Any] = attrs.Factory(dict)
    per_s: float = 100.0
    before_s: float = 3.0
    after_s: float = 5.0
    seed: int = 1
