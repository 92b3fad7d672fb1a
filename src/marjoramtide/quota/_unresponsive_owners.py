"""Detects quota owners that don't respond."""

import attrs

# Consecutive requests to an owner without a response; a single one may be a lost datagram.
MAX_UNANSWERED = 2
# How long an unresponsive owner is not asked.
UNRESPONSIVE_S = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class UnresponsiveOwners:
    """Counts consecutive unanswered requests by the owner's address."""

    unanswered: dict[str, int] = attrs.Factory(dict)
    unresponsive_until: dict[str, float] = attrs.Factory(dict)

    def record(self, address: str, has_answered: bool, now: float) -> None:
        """Record whether an owner has responded to a request."""
        if has_answered:
            self.unanswered.pop(address, None)
            self.unresponsive_until.pop(address, None)
            return
        self.unanswered[address] = self.unanswered.get(address, 0) + 1
        if self.unanswered[address] >= MAX_UNANSWERED:
            self.unresponsive_until[address] = now + UNRESPONSIVE_S

    def is_unresponsive(self, address: str, now: float) -> bool:
        """Tell whether an owner should not be asked now."""
        return now < self.unresponsive_until.get(address, 0.0)
