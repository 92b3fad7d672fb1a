"""How long requests will run on one backend server, and when they are due."""

import attrs

from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.admission._execution_times import ExecutionTimes
from marjoramtide.policy.pace import DEFAULT_WORK_MS, Pace


@attrs.define(slots=True, eq=False, repr=False)
class RunEstimates:
    """What is expected of requests, by how long their kinds took and by the server's pace."""

    times: ExecutionTimes = attrs.Factory(ExecutionTimes)
    pace: Pace = attrs.Factory(Pace)

    def set_pace(self, pace: Pace) -> None:
        """Go by another pace; what runs keeps the one with which it began."""
        self.pace = pace
        self.times.pace = pace.slowdown

    def due(self, profile: CallProfile, now: float) -> float:
        """Return when a request is to be answered: by its goal, or its deadline after that.

        Failure: more comes than can be done, and requests wait in the order of their deadlines. All
        are answered, and nearly all too late to be worth much to their callers. Where the goal
        counts, those that can still meet it do, and the rest is refused at once.
        """
        if profile.goal >= profile.deadline:
            return profile.deadline
        work_ms = self.kept_ms(profile, profile.goal)
        return profile.goal if now + work_ms / 1000 < profile.goal else profile.deadline

    def misses_goal(self, profile: CallProfile, now: float) -> bool:
        """Tell whether neighbours make a request late here that would not be late elsewhere."""
        work_ms = self.times.kind(profile.kind).mean.value
        left_ms = (profile.goal - now) * 1000
        if not self.pace.is_slow or not work_ms or left_ms < work_ms:
            return False
        return self.pace.run_ms(work_ms) > left_ms

    def waits(self, profile: CallProfile, now: float) -> bool:
        """Tell whether a request should wait for the server's pace, see ``Pace.waits``."""
        return self.pace.should_wait(self.work_ms(profile), now)

    def work_ms(self, profile: CallProfile) -> float:
        """Return how long a request runs undisturbed, or others do while its kind is new."""
        known_ms = self.times.kind(profile.kind).mean.value or self.times.mean.value
        return known_ms or DEFAULT_WORK_MS

    def kept_ms(self, profile: CallProfile, due: float) -> float:
        """Return the time that a request is kept until it is due, 0 while its kind is new.

        One that is due at its deadline gets the mean: it may still be in time, and there is nothing
        left to lose by being late.
        """
        times = self.times.kind(profile.kind)
        return times.planned_ms if due == profile.goal else times.mean.value

    def own_ms(self, profile: CallProfile, due: float, now: float) -> float:
        """Return how long this request itself is expected to run, 0 while its kind is new."""
        own_ms = self.kept_ms(profile, due)
        if not own_ms:
            return 0.0
        waits = self.pace.should_wait(own_ms, now)
        paced_ms = own_ms * (self.pace.best_slowdown if waits else self.pace.slowdown)
        return max(paced_ms, self.times.silence_ms(now))

    def latest_start(self, profile: CallProfile, due: float) -> float:
        """Return until when a request must start to end in time, at the best pace.

        Failure: a server is slow for a moment, and all that waits there for its quick state is
        given up, since by the pace of that moment none of it would end in time. One that is due at
        its deadline has nothing to lose by being late, and waits while the quickest could end.
        """
        times = self.times.kind(profile.kind)
        work_ms = times.planned_ms if due == profile.goal else times.quick.value
        return due - work_ms * min(self.pace.slowdown, self.pace.best_slowdown) / 1000
