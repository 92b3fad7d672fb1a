"""A request that was running when servers ended."""

import itertools
from collections.abc import Iterable
from typing import TypeVar

import attrs

from marjoramtide.policy.quarantine._suspect_report import ServerCrash, SuspectReport

T = TypeVar("T")

# Ends that are kept of one request, as many again of which it was cleared. With more, only the
# newest tell anything: its hold has reached its greatest length before.
MAX_CRASHES = 16
# What is told of how long ago an end was, at most, in seconds.
OLDEST_S = 86_400.0
# Servers that end within so many seconds of each other are lost by one cause, a rack or a switch,
# more likely than by a request that was running on all of them. What was running there is blamed
# once; what began only after the first of these ends is blamed again.
MOMENT_S = 0.05


@attrs.frozen(slots=True)
class KnownCrash:
    """When a server ended, and when it had begun the request; seconds of the monotonic clock."""

    ended_at: float
    began_at: float

    @property
    def ran_s(self) -> float:
        return self.ended_at - self.began_at


@attrs.define(slots=True, eq=False, repr=False)
class Suspect:
    """What this node holds of one request; times in seconds of the monotonic clock.

    ``ends`` are the ends by their numbers, ``cleared`` the numbers of those of which it is cleared;
    both in the order in which they were heard of. ``heard_at`` is when the last news of it came,
    ``guilty`` what was concluded from that.
    ``label`` is its method and target, empty until this node has seen such a request, ``refused``
    how often this node has refused it.
    """

    fingerprint: int
    crashes: dict[int, KnownCrash] = attrs.Factory(dict)
    cleared: dict[int, None] = attrs.Factory(dict)
    trial_until: float = float("-inf")
    heard_at: float = float("-inf")
    is_confirmed: bool = False
    label: str = ""
    refused: int = 0

    @property
    def crash_count(self) -> int:
        """Return for how many ends it is blamed."""
        return len(self.counted_crashes())

    def counted_crashes(self) -> list[KnownCrash]:
        """Return the ends of which it is not cleared, one of each moment, in their order."""
        found: list[KnownCrash] = []
        for end in sorted(self._open(), key=lambda end: end.ended_at):
            moment = found[-1].ended_at if found else float("-inf")
            if end.ended_at > moment + MOMENT_S or end.began_at > moment:
                found.append(end)
        return found

    @property
    def last_crash_at(self) -> float:
        """Return the time of the last end of which it is not cleared."""
        return max((end.ended_at for end in self._open()), default=float("-inf"))

    def _open(self) -> list[KnownCrash]:
        return [end for number, end in self.crashes.items() if number not in self.cleared]

    def merge(self, report: SuspectReport, now: float) -> bool:
        """Take in what is told of it; return whether any of that was new."""
        new_ends = {
            end.number: KnownCrash(now - end.age_s, now - end.age_s - end.ran_s)
            for end in report.crashes
            if end.number not in self.crashes
        }
        self.crashes = keep_last(self.crashes | new_ends)
        cleared = self._clear(report.cleared)
        tried = report.trial_s > 0 and self.trial_until < now
        if tried:
            self.trial_until = now + report.trial_s
        return bool(new_ends) or cleared or tried

    def clear(self) -> bool:
        """Clear it of all ends that are known; return whether there was one."""
        return self._clear(self.crashes)

    def _clear(self, numbers: Iterable[int]) -> bool:
        new = dict.fromkeys(number for number in numbers if number not in self.cleared)
        self.cleared = keep_last(self.cleared | new)
        return bool(new)

    def to_report(self, now: float) -> SuspectReport:
        """Return what others are told of it."""
        return SuspectReport(
            self.fingerprint,
            tuple(
                ServerCrash(number, min(OLDEST_S, max(0.0, now - end.ended_at)), end.ran_s)
                for number, end in self.crashes.items()
            ),
            tuple(self.cleared),
            max(0.0, self.trial_until - now),
        )


def keep_last(numbers: dict[int, T]) -> dict[int, T]:
    """Return the last ``MAX_ENDS`` entries."""
    excess = len(numbers) - MAX_CRASHES
    return numbers if excess <= 0 else dict(itertools.islice(numbers.items(), excess, None))
