"""A request that was running when servers crashed."""

import itertools
from collections.abc import Iterable
from typing import TypeVar

import attrs

from marjoramtide.policy.quarantine._suspect_report import ServerCrash, SuspectReport

T = TypeVar("T")

# Crashes that are kept for one request, and as many again that it was cleared of. More add no
# information: the hold reaches its maximum before.
MAX_CRASHES = 16
# The maximum reported age of a crash, in seconds.
MAX_AGE_S = 86_400.0
# Servers that crash within so many seconds of each other are more likely lost by one cause, such as
# a rack or a switch, than by a request that was running on all of them. Such crashes count once for
# the requests that were running; a crash counts again if the request started after the first one.
SAME_CAUSE_S = 0.05


@attrs.frozen(slots=True)
class KnownCrash:
    """When a server crashed and when it had started the request, on the monotonic clock."""

    crashed_at: float
    started_at: float

    @property
    def ran_s(self) -> float:
        return self.crashed_at - self.started_at


@attrs.define(slots=True, eq=False, repr=False)
class Suspect:
    """What this node knows about one request; times in seconds of the monotonic clock.

    ``crashes`` are the crashes by their numbers, ``cleared`` the numbers of those it is cleared of;
    both in the order in which they were reported. ``updated_at`` is when something new was last
    reported, ``is_confirmed`` whether the crashes exceeded chance at that time. ``label`` is its
    method and target, empty until this node has seen such a request, ``refused`` how often this
    node has rejected it.
    """

    fingerprint: int
    crashes: dict[int, KnownCrash] = attrs.Factory(dict)
    cleared: dict[int, None] = attrs.Factory(dict)
    trial_until: float = float("-inf")
    updated_at: float = float("-inf")
    is_confirmed: bool = False
    label: str = ""
    refused: int = 0

    @property
    def crash_count(self) -> int:
        """Return how many crashes count against it."""
        return len(self.counted_crashes())

    def counted_crashes(self) -> list[KnownCrash]:
        """Return the crashes it is not cleared of, one for each common cause, in their order."""
        counted: list[KnownCrash] = []
        for crash in sorted(self._uncleared(), key=lambda crash: crash.crashed_at):
            previous_at = counted[-1].crashed_at if counted else float("-inf")
            if crash.crashed_at > previous_at + SAME_CAUSE_S or crash.started_at > previous_at:
                counted.append(crash)
        return counted

    @property
    def last_crash_at(self) -> float:
        """Return the time of the last crash it is not cleared of."""
        return max((crash.crashed_at for crash in self._uncleared()), default=float("-inf"))

    def _uncleared(self) -> list[KnownCrash]:
        return [crash for number, crash in self.crashes.items() if number not in self.cleared]

    def merge(self, report: SuspectReport, now: float) -> bool:
        """Merge a report; return whether any of it was new."""
        new_crashes = {
            crash.number: KnownCrash(now - crash.age_s, now - crash.age_s - crash.ran_s)
            for crash in report.crashes
            if crash.number not in self.crashes
        }
        self.crashes = keep_last(self.crashes | new_crashes)
        cleared = self._clear(report.cleared)
        has_trial = report.trial_s > 0 and self.trial_until < now
        if has_trial:
            self.trial_until = now + report.trial_s
        return bool(new_crashes) or cleared or has_trial

    def clear(self) -> bool:
        """Clear it of all known crashes; return whether there was one."""
        return self._clear(self.crashes)

    def _clear(self, numbers: Iterable[int]) -> bool:
        new = dict.fromkeys(number for number in numbers if number not in self.cleared)
        self.cleared = keep_last(self.cleared | new)
        return bool(new)

    def to_report(self, now: float) -> SuspectReport:
        """Return the report about it for other nodes."""
        return SuspectReport(
            self.fingerprint,
            tuple(
                ServerCrash(number, min(MAX_AGE_S, max(0.0, now - crash.crashed_at)), crash.ran_s)
                for number, crash in self.crashes.items()
            ),
            tuple(self.cleared),
            max(0.0, self.trial_until - now),
        )


def keep_last(numbers: dict[int, T]) -> dict[int, T]:
    """Return the last ``MAX_CRASHES`` entries."""
    excess = len(numbers) - MAX_CRASHES
    return numbers if excess <= 0 else dict(itertools.islice(numbers.items(), excess, None))
