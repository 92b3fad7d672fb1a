"""Owners that don't answer."""

import attrs

# Of questions to an owner: a single one may be lost on its way.
UNANSWERED = 2
# For how long an owner that is silent isn't asked, in seconds.
SILENT_S = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class SilentOwners:
    """Counts unanswered questions in a row, by the owner's address."""

    unanswered: dict[str, int] = attrs.Factory(dict)
    until: dict[str, float] = attrs.Factory(dict)

    def note(self, address: str, answered: bool, now: float) -> None:
        """Take in whether an owner has answered a question."""
        if answered:
            self.unanswered.pop(address, None)
            self.until.pop(address, None)
            return
        self.unanswered[address] = self.unanswered.get(address, 0) + 1
        if self.unanswered[address] >= UNANSWERED:
            self.until[address] = now + SILENT_S

    def is_silent(self, address: str, now: float) -> bool:
        """Tell whether an owner isn't to be asked now."""
        return now < self.until.get(address, 0.0)
