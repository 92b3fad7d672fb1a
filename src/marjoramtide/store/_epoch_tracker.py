"""The newest epoch of the store that a node knows of."""

from collections.abc import Callable

import attrs
import structlog

log = structlog.get_logger()


@attrs.define(slots=True, eq=False, repr=False)
class EpochTracker:
    """The newest epoch of the store that a node learned from the store or from another node.

    The epoch counts how often the store was restored from a copy. ``listeners`` are called with
    each epoch after the first known one: a node that has just started has written nothing that a
    restore could have lost.
    """

    epoch_number: int = 0
    is_known: bool = False
    listeners: list[Callable[[int], None]] = attrs.Factory(list)

    def observe(self, epoch_number: int, peer: str) -> None:
        """Record an epoch; an earlier one, from a late response, is ignored."""
        has_advanced = self.is_known and epoch_number > self.epoch_number
        self.epoch_number = max(epoch_number, self.epoch_number)
        self.is_known = True
        if not has_advanced:
            return
        log.warning("store.epoch", step="store.epoch", peer=peer, epoch=epoch_number)
        for listener in self.listeners:
            listener(epoch_number)
