"""Faults of the store towards single nodes."""

from enum import Enum

import attrs


class FaultKind(Enum):
    """What a node gets in place of an answer."""

    SILENCE = "silence"  # nothing, on this connection also after the fault
    RESET = "reset"
    REFUSAL = "refusal"  # 503


@attrs.frozen(slots=True)
class StoreFault:
    """A fault of all calls, or of watches alone."""

    kind: FaultKind
    watches_only: bool = False

    def affects(self, is_watch: bool) -> bool:
        return is_watch or not self.watches_only
