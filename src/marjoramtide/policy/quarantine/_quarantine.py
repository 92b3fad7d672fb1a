"""The requests that backend servers are suspected to end by."""

import itertools
import math
from collections import OrderedDict

from marjoramtide.policy.quarantine._hold_rule import HoldRule
from marjoramtide.policy.quarantine._recent_crashes import RecentCrashes
from marjoramtide.policy.quarantine._run_decision import RunDecision, RunVerdict
from marjoramtide.policy.quarantine._suspect import Suspect
from marjoramtide.policy.quarantine._suspect_report import SuspectReport

# Suspects that are kept, 1.6 MB when full (measured). Each end of a server adds some tens, what ran
# there.
MAX_SUSPECTS = 2048
# For how long after the last news of it a request is remembered, in seconds: as long as the longest
# hold, and time to be asked for again.
REMEMBERED_S = 2 * 3600.0
# How long a trial may take, in seconds: longer than requests run, so that there is one at a time.
TRIAL_S = 10.0
# How likely it may be that a request has met its ends by chance, to be held back for them. What a
# hold costs is one refusal with when to come back, what a guilty request costs is a server.
UNLIKELY = 1e-4

RUN = RunDecision(RunVerdict.RUN)
TRIAL = RunDecision(RunVerdict.TRIAL)


class Quarantine:
    """Decides which requests backend servers may begin, by the ends that are put down to each.

    All that a server was running when it ended is suspect, and at most one of these requests is
    guilty. The innocent ones run elsewhere and are cleared by that; a request that was running at
    the ends of ``rule.after`` servers, that none has completed, and that is unlikely to have met
    them by chance, is held back. When its time is over, the next one that comes is run alone, as a
    trial; another end holds it back for longer.

    ``servers`` is how many the service has, as far as this node knows.

    Times are in seconds of the monotonic clock. For example::

        quarantine.take(Suspicion(fingerprint, (ServerEnd(0x5a, ran_s=0.1),)), now=1.0)
        quarantine.judge(fingerprint, now=1.2)
    """

    def __init__(self, rule: HoldRule | None = None) -> None:
        self.rule = rule or HoldRule()
        self.server_count = 1
        self.recent = RecentCrashes()
        # Those of one end apart from the rest: a flood of requests that were lost with one server
        # each must not push out of memory what has ended two.
        self.weak: OrderedDict[int, Suspect] = OrderedDict()
        self.strong: OrderedDict[int, Suspect] = OrderedDict()

    def find(self, fingerprint: int) -> Suspect | None:
        """Return what is held of a request."""
        return self.weak.get(fingerprint) or self.strong.get(fingerprint)

    def merge(self, report: SuspectReport, now: float) -> tuple[Suspect, bool]:
        """Take in what a node has told; return the suspect, and whether anything was new."""
        suspect = self.find(report.fingerprint) or Suspect(report.fingerprint)
        is_new = suspect.merge(report, now)
        for end in report.crashes:
            self.recent.add(end.number, now - end.age_s)
        if is_new:
            suspect.heard_at = now
            suspect.is_confirmed = self._concludes(suspect, now)
            self._place(suspect)
            self._forget_old(now)
        return suspect, is_new

    def decide(self, fingerprint: int, now: float) -> RunDecision:
        """Decide whether a server may begin a request now; a trial counts as begun by this."""
        suspect = self.find(fingerprint)
        if suspect is None or not self.is_restricted(suspect):
            return RUN
        wait_s = self.wait_s(suspect, now)
        if wait_s > 0:
            return RunDecision(RunVerdict.HOLD, wait_s)
        suspect.trial_until = now + TRIAL_S
        return TRIAL

    def wait_s(self, suspect: Suspect, now: float) -> float:
        """Return for how much longer a request is held back, in seconds; 0 where it is not."""
        if not self.is_restricted(suspect):
            return 0.0
        hold_s = self.rule.hold_after(suspect.crash_count)
        return max(0.0, suspect.last_crash_at + hold_s - now, suspect.trial_until - now)

    def is_restricted(self, suspect: Suspect) -> bool:
        """Tell whether a request is held back, or may be run as a trial only."""
        return suspect.is_confirmed and self.rule.hold_after(suspect.crash_count) > 0

    def _concludes(self, suspect: Suspect, now: float) -> bool:
        """Tell whether the ends that a request is blamed for are more than chance.

        Failure without it: servers end every few seconds for reasons of their own, and requests
        that run for seconds are lost two or three times in a row. Of such requests 3 to 7 in 100
        were held back, and none by which a server had ended (played, 10 seeds). A request that ran
        for ``ran_s`` met an end by chance as often as a server ends in that time.
        """
        crashes = suspect.counted_crashes()
        if len(crashes) < self.rule.after:
            return False
        rate = self.recent.rate(self.server_count, now, suspect.crashes)
        return math.prod(min(1.0, rate * end.ran_s) for end in crashes) <= UNLIKELY

    def clear(self, fingerprint: int) -> Suspect | None:
        """Clear a request of the ends it is suspected of; ``None`` where there is none."""
        suspect = self.find(fingerprint)
        if suspect is None or not suspect.clear():
            return None
        suspect.is_confirmed = False
        self._place(suspect)
        return suspect

    def held(self, now: float) -> list[Suspect]:
        """Return the suspects that are held back now."""
        return [each for each in self.restricted() if self.wait_s(each, now) > 0]

    def restricted(self) -> list[Suspect]:
        """Return the suspects that are held back, or that may be run as a trial only."""
        ranks = [self.strong, self.weak] if self.rule.after == 1 else [self.strong]
        suspects = itertools.chain.from_iterable(rank.values() for rank in ranks)
        return [each for each in suspects if self.is_restricted(each)]

    def __len__(self) -> int:
        return len(self.weak) + len(self.strong)

    def _place(self, suspect: Suspect) -> None:
        self.weak.pop(suspect.fingerprint, None)
        self.strong.pop(suspect.fingerprint, None)
        rank = self.weak if suspect.crash_count < 2 else self.strong
        rank[suspect.fingerprint] = suspect

    def _forget_old(self, now: float) -> None:
        for rank in (self.weak, self.strong):
            while rank and next(iter(rank.values())).heard_at < now - REMEMBERED_S:
                rank.popitem(last=False)
        while len(self) > MAX_SUSPECTS:
            (self.weak or self.strong).popitem(last=False)
