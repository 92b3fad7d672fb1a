"""How often the store has come back from a copy, as far as a node knows."""

from collections.abc import Callable

import attrs
import structlog

log = structlog.get_logger()


@attrs.define(slots=True, eq=False, repr=False)
class Epoch:
    """The newest epoch of the store that a node has heard of, from the store or another node.

    ``listeners`` are called with each one that follows the first: a node that has just started has
    written nothing yet that could be lost.
    """

    number: int = 0
    is_known: bool = False
    listeners: list[Callable[[int], None]] = attrs.Factory(list)

    def hear(self, number: int, peer: str) -> None:
        """Take note of an epoch; an earlier one, of an answer that was late, changes nothing."""
        is_new = self.is_known and number > self.number
        self.number = max(number, self.number)
        self.is_known = True
        if not is_new:
            return
        log.warning("store.epoch", step="store.epoch", peer=peer, epoch=number)
        for listener in self.listeners:
            listener(number)
