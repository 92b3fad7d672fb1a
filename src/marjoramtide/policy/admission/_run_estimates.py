"""Estimates of run times on one backend server, and due times of requests."""

import attrs

from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.admission._execution_times import ExecutionTimes
from marjoramtide.policy.pace import DEFAULT_WORK_MS, Pace


@attrs.define(slots=True, eq=False, repr=False)
class RunEstimates:
    """Estimates for requests, from the times of their kinds and the server's current slowdown."""

    times: ExecutionTimes = attrs.Factory(ExecutionTimes)
    pace: Pace = attrs.Factory(Pace)

    def set_pace(self, pace: Pace) -> None:
        """Apply another slowdown; running requests keep the one with which they started."""
        self.pace = pace
        self.times.slowdown = pace.slowdown

    def due(self, profile: CallProfile, now: float) -> float:
        """Return when a request is due: its goal, or its deadline once the goal can't be met.

        Failure: under overload, requests wait in the order of their deadlines. All are answered,
        and nearly all too late to be worth much to their callers. If the goal counts, the requests
        that can still meet it do, and the rest is rejected immediately.
        """
        if profile.goal >= profile.deadline:
            return profile.deadline
        work_ms = self.planned_ms(profile, profile.goal)
        return profile.goal if now + work_ms / 1000 < profile.goal else profile.deadline

    def misses_goal(self, profile: CallProfile, now: float) -> bool:
        """Tell whether neighbours make a request late here that would be in time elsewhere."""
        work_ms = self.times.kind(profile.kind).mean.value
        left_ms = (profile.goal - now) * 1000
        if not self.pace.is_slow or not work_ms or left_ms < work_ms:
            return False
        return self.pace.run_ms(work_ms) > left_ms

    def waits(self, profile: CallProfile, now: float) -> bool:
        """Tell whether a request should wait until the server is faster, see ``Pace.waits``."""
        return self.pace.should_wait(self.work_ms(profile), now)

    def work_ms(self, profile: CallProfile) -> float:
        """Return the undisturbed run time of a request; of all requests while its kind is new."""
        known_ms = self.times.kind(profile.kind).mean.value or self.times.mean.value
        return known_ms or DEFAULT_WORK_MS

    def planned_ms(self, profile: CallProfile, due: float) -> float:
        """Return the run time to plan for a request until it is due, 0 while its kind is new.

        A request that is due at its deadline is planned with the mean: it may still be in time, and
        being late costs nothing more.
        """
        times = self.times.kind(profile.kind)
        return times.planned_ms if due == profile.goal else times.mean.value

    def expected_run_ms(self, profile: CallProfile, due: float, now: float) -> float:
        """Return the expected run time of this request itself, 0 while its kind is new."""
        expected_run_ms = self.planned_ms(profile, due)
        if not expected_run_ms:
            return 0.0
        waits = self.pace.should_wait(expected_run_ms, now)
        slowed_ms = expected_run_ms * (self.pace.best_slowdown if waits else self.pace.slowdown)
        return max(slowed_ms, self.times.silence_ms(now))

    def latest_start(self, profile: CallProfile, due: float) -> float:
        """Return until when a request must start to end in time, at the server's best speed.

        Failure: a server is slow for a moment, and everything that waits there until it is faster
        is dropped, since at its current speed none of it would end in time. A request that is due
        at its deadline has nothing to lose by being late, and waits while the fastest execution
        could still end in time.
        """
        times = self.times.kind(profile.kind)
        work_ms = times.planned_ms if due == profile.goal else times.quick.value
        return due - work_ms * min(self.pace.slowdown, self.pace.best_slowdown) / 1000
