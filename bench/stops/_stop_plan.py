"""What one play of a fleet that stands still consists of."""

from typing import Any

import attrs


@attrs.frozen(slots=True)
class StopPlan:
    """A mesh of ``nodes`` nodes, all of which are stopped for ``stop_s`` seconds at one moment.

    ``store`` are the faults that the store shows from a second before on.
    """

    nodes: int = 12
    stop_s: float = 0.6
    store: dict[str, Any] = attrs.Factory(dict)
    per_s: float = 100.0
    before_s: float = 3.0
    after_s: float = 5.0
    seed: int = 1
