"""Earliest-deadline-first admission, with slots reserved for urgent requests."""

import itertools
import math

import attrs

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import LoadReport, first_sequence
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.admission._admission import Admission, Decision, Verdict
from marjoramtide.policy.admission._call_throttle import CallThrottle
from marjoramtide.policy.admission._cold_rate_limiter import ColdRule
from marjoramtide.policy.admission._concurrency_limiter import ConcurrencyLimiter
from marjoramtide.policy.admission._execution_times import ExecutionTimes
from marjoramtide.policy.admission._limiter_factory import make_limiter
from marjoramtide.policy.admission._priority_shares import PriorityShares
from marjoramtide.policy.admission._queue_priority import QueuePriority, priority_of
from marjoramtide.policy.admission._request_queue import QueueEntry, RequestQueue
from marjoramtide.policy.admission._run_estimates import RunEstimates
from marjoramtide.policy.admission._server_rate_limiter import ServerRateLimiter
from marjoramtide.policy.admission._workspace_shares import WorkspaceShares
from marjoramtide.policy.pace import Pace
from marjoramtide.settings import RouteSettings

DRAINING_RETRY_MS = 1000
DISPLACED_SLACK = 3.0
# The minimum share of the slots that is assumed to be available to the lowest priority, since the
# estimate of the rest is accurate to a few in a hundred.
MIN_AVAILABLE_SHARE = 0.02


@attrs.define(slots=True, eq=False, repr=False)
class EdfAdmission(Admission):
    """Earliest deadline first within a class, urgent before routine, within a concurrency limit.

    A new request starts if a slot is free for its class, is queued if it can still finish in time,
    and is rejected otherwise, with a retry delay after which it would have been accepted. Of the
    limit, ``urgent_slots`` are never used by routine requests (which may always use at least one
    slot), so an urgent request doesn't wait for a routine one to end. The queue of each class is
    bounded by ``queue_limit``. A queued routine request that can no longer meet its deadline
    because of urgent ones is dropped by ``expire``; a running one never is.
    """

    limiter: ConcurrencyLimiter
    urgent_slots: int
    queue_limit: int
    started_at: float
    accepting: bool = True
    estimates: RunEstimates = attrs.Factory(RunEstimates)
    waiting: RequestQueue = attrs.Factory(RequestQueue)
    profiles: dict[int, CallProfile] = attrs.Factory(dict)
    due_times: dict[int, float] = attrs.Factory(dict)
    concurrency_at_start: dict[int, int] = attrs.Factory(dict)
    incarnation: int = 0
    sequence: "itertools.count[int]" = attrs.Factory(lambda: itertools.count(first_sequence(0)))
    priority_shares: PriorityShares = attrs.Factory(PriorityShares)
    workspace_shares: WorkspaceShares = attrs.Factory(WorkspaceShares)
    priorities: dict[int, QueuePriority] = attrs.Factory(dict)
    call_throttles: dict[str, CallThrottle] = attrs.Factory(dict)
    routine_running: int = 0
    handled_stall: float | None = None
    limiter_settings: tuple[str, int, int] = ("", 0, 0)
    recheck_at: float | None = None
    resume_at: float | None = None
    rate_limiter: ServerRateLimiter = attrs.field()
    rate_limit_wake_at: float | None = None

    @rate_limiter.default
    def _new_rate_limiter(self) -> ServerRateLimiter:
        return ServerRateLimiter(self.started_at)

    @property
    def times(self) -> ExecutionTimes:
        return self.estimates.times

    @property
    def pace(self) -> Pace:
        return self.estimates.pace

    @property
    def in_use(self) -> int:
        return len(self.times.running)

    @property
    def limit(self) -> int:
        return self.limiter.limit

    @property
    def routine_limit(self) -> int:
        """Return how many routine requests may run at once: at least one."""
        return max(1, self.limit - self.urgent_slots)

    def reconfigure(self, settings: RouteSettings) -> None:
        new_settings = (settings.limiter, settings.slots, settings.min_limit)
        if new_settings != self.limiter_settings:
            self.limiter = make_limiter(settings)
            self.limiter_settings = new_settings
        self.urgent_slots = settings.urgent_slots
        self.queue_limit = settings.queue_limit
        self.rate_limiter.cold.set_rule(
            ColdRule(
                settings.cold_start_s,
                settings.cold_per_s,
                settings.cold_excess,
                settings.cold_slack,
            )
        )

    def server_replaced(self, now: float) -> list[int]:
        for ticket in list(self.times.running):
            self._end(ticket, now)
        self.estimates = RunEstimates()
        self.limiter = self.limiter.fresh()
        self.priority_shares = PriorityShares()
        self.workspace_shares = WorkspaceShares()
        self.call_throttles = {}
        self.handled_stall = None
        self.rate_limiter.server_started(now)
        self.set_pace(Pace())
        self.started_at = now
        self.incarnation += 1
        self.sequence = itertools.count(first_sequence(self.incarnation))
        return self._start_queued(now)

    def set_accepting(self, accepting: bool) -> None:
        self.accepting = accepting

    def set_cold_time(self, left_s: float, now: float) -> None:
        self.rate_limiter.cold.set_cold_time(left_s, now)

    def set_rate_limit(self, rate_per_s: float | None, since: float, now: float) -> None:
        self.rate_limiter.requested.set_rate(rate_per_s, since, now)

    def set_pace(self, pace: Pace) -> None:
        self.estimates.set_pace(pace)
        self.resume_at = pace.decide_again_at if pace.decide_again_at < math.inf else None

    def resume(self, now: float) -> list[int]:
        if self.resume_at is not None and self.resume_at <= now:
            self.resume_at = None
        self.rate_limit_wake_at = None
        return self._start_queued(now)

    def clear_queue(self) -> list[int]:
        queued = self.waiting.tickets()
        for ticket in queued:
            self._drop_queued(ticket)
        return queued

    def offer(self, ticket: int, profile: CallProfile, now: float) -> Decision:
        if not self.accepting:
            return _reject(ErrorCode.DRAINING, DRAINING_RETRY_MS)
        remaining_ms = (profile.deadline - now) * 1000
        if remaining_ms <= 0:
            return _reject(ErrorCode.DEADLINE, 0.0)
        throttle = self._call_throttle_of(profile.kind)
        if not profile.is_call and not throttle.admit(now):
            return _reject(ErrorCode.CALLS_SHORT, throttle.retry_after_ms())
        if profile.attempt == 1 and (silence := self.times.silence_ms(now)):
            # Failure: a neighbour takes the processor for a moment, and requests that arrive then
            # run ten times slower although other servers have capacity. An immediate rejection
            # costs one hop. It applies to first attempts only: if all servers are slow, the second
            # attempt runs.
            return _reject(ErrorCode.OVERLOADED, silence)
        if profile.attempt == 1 and self.estimates.misses_goal(profile, now):
            # Failure: a neighbour has slowed this server down since its last report, and a booking
            # that arrives now takes four times as long here, although other servers are fast. An
            # immediate rejection costs one hop; a second attempt has found no faster server.
            return _reject(ErrorCode.SLOWED, self.pace.recovers_in_ms(now))
        if profile.attempt == 1 and (wait_ms := self._excessive_wait_ms(profile, now)):
            # Failure: requests wait for the rate limit that a server has requested and are late,
            # although other servers have capacity. An immediate rejection costs one hop.
            return _reject(ErrorCode.RATE_LIMITED, wait_ms)
        work_ms = self.estimates.work_ms(profile)
        due = self.due_times[ticket] = self.estimates.due(profile, now)
        self.workspace_shares.record_request(profile.workspace, work_ms, now)
        over_share = self.workspace_shares.is_over(profile.workspace, work_ms, now)
        self.priorities[ticket] = priority_of(profile, due, over_share)
        if self._may_start(profile.urgent, now) and not self.estimates.waits(profile, now):
            decision = self._start_or_reject(ticket, profile, remaining_ms, now)
        else:
            decision = self._queue_or_reject(ticket, profile, now)
        if decision.verdict is Verdict.REJECT:
            del self.due_times[ticket], self.priorities[ticket]
        return decision

    def _call_throttle_of(self, kind: str) -> CallThrottle:
        return self.call_throttles.setdefault(kind, CallThrottle())

    def _start_or_reject(
        self, ticket: int, profile: CallProfile, remaining_ms: float, now: float
    ) -> Decision:
        # An idle server accepts a request whatever was measured before. Otherwise a server that was
        # slow once would reject everything as too late, never run anything, and so never learn that
        # it is fast again.
        if self.in_use and remaining_ms < self.times.kind(profile.kind).low.value:
            return _reject(ErrorCode.DEADLINE, 0.0)
        self._start(ticket, profile, now)
        return Decision(Verdict.START)

    def _queue_or_reject(self, ticket: int, profile: CallProfile, now: float) -> Decision:
        waits = self.estimates.waits(profile, now)
        service_ms = self.times.expected_ms(now)
        if waits:
            service_ms *= self.pace.best_slowdown / self.pace.slowdown
        due = self.due_times[ticket]
        remaining_ms = (due - now) * 1000
        priority = self.priorities[ticket]
        # A call goes before all requests of its rank that are not calls: everything in the queue is
        # due later than now. Failure: a request holds a slot at another server, and its call waits
        # here behind requests that hold none, or is rejected because the queue is full; then the
        # whole run was wasted.
        key = priority.sort_key(now if profile.is_call else due)
        ahead = self.waiting.ahead_of(profile.urgent, key)
        wait_ms = self._wait_ms(ahead, priority, service_ms)
        run_ms = self.estimates.expected_run_ms(profile, due, now)
        rate_wait_ms = self._rate_limit_wait_ms(ahead, priority, now)
        if not self.rate_limiter.is_active(now) and self._has_slot(profile.urgent):
            # Slots are free, and it waits only for the server to become faster.
            wait_ms = 0.0
        if waits:
            wait_ms += self.pace.recovers_in_ms(now)
        if profile.urgent and self.urgent_slots and run_ms:
            # Slots reserved for urgent requests become free at the rate of those requests only.
            wait_ms = min(wait_ms, (ahead + 1) * run_ms / min(self.urgent_slots, self.limit))
        is_rate_limited = rate_wait_ms > wait_ms and self.rate_limiter.requested.is_active(now)
        reason = ErrorCode.RATE_LIMITED if is_rate_limited else ErrorCode.OVERLOADED
        wait_ms = max(wait_ms, rate_wait_ms)
        if len(self.waiting.of_class(profile.urgent)) >= self.queue_limit:
            return _reject(reason, wait_ms)
        lateness_ms = wait_ms + run_ms - remaining_ms
        if lateness_ms > 0:
            # Failure: a request waits until its deadline in a queue that could never have served
            # it, and its caller gets an error only then. If rejected now, it can be sent elsewhere.
            return _reject(reason, min(lateness_ms, wait_ms))
        latest_start = self.estimates.latest_start(profile, due)
        self.waiting.add(ticket, QueueEntry(profile.urgent, key, latest_start))
        self._schedule_rate_limit_wake(now)
        self.profiles[ticket] = profile
        if profile.urgent and len(self.waiting.routine):
            self.recheck_at = now
        return Decision(Verdict.QUEUE)

    def finished(
        self,
        ticket: int,
        now: float,
        duration_ms: float,
        succeeded: bool,
        calls_refused: bool = False,
    ) -> list[int]:
        limit_used = self._uses_limit()
        kind = self.profiles[ticket].kind if ticket in self.profiles else ""
        self._call_throttle_of(kind).record_end(calls_refused, now)
        running = self.concurrency_at_start.get(ticket, 1)
        if self._end(ticket, now) is None:
            return []
        comparable_ms = self.times.comparable_ms(duration_ms, kind)
        self.times.add(duration_ms, succeeded, kind)
        previous_limit = self.limit
        self.limiter.observe(comparable_ms, limit_used, succeeded, running)
        if self.limit < previous_limit and self.profiles:
            self.recheck_at = now
        return self._start_queued(now)

    def withdraw(self, ticket: int, now: float) -> list[int]:
        if ticket not in self.times.running:
            self._drop_queued(ticket)
            return []
        ran_ms = self._end(ticket, now)
        self.times.add_cancelled(ran_ms or 0.0)
        return self._start_queued(now)

    def expire(self, now: float) -> list[int]:
        service_ms = self.times.expected_ms(now)
        late = self._drop_late(now)
        stalls_at = self._next_stall()
        if stalls_at is not None and stalls_at <= now:
            self.handled_stall = stalls_at
            late += self._drop_first_attempts()
        if self.recheck_at is not None:
            self.recheck_at = None
            late += self._drop_displaced(service_ms, now)
        return late

    def next_expiry(self) -> float | None:
        if not self.waiting:
            return None
        wake_times = (self.recheck_at, self._next_stall(), self.resume_at, self.rate_limit_wake_at)
        return min([self._first_latest_start(), *(each for each in wake_times if each is not None)])

    def retry_after_ms(self, now: float) -> int:
        waiting = len(self.waiting)
        ahead = waiting + max(0, self.in_use + 1 - self.limit)
        slot_ms = ahead * self.times.expected_ms(now) / self.limit
        return max(1, round(max(slot_ms, self.rate_limiter.wait_s(waiting, now) * 1000)))

    def workspaces_over_share(self, now: float) -> frozenset[str]:
        return self.workspace_shares.over(now) if self.waiting else frozenset()

    def report(self, now: float) -> LoadReport:
        # Other nodes balance load by this report, so rate limits are expressed as a limit of slots.
        rate_bound = self.rate_limiter.concurrency(self.times.mean.value, now)
        return LoadReport(
            in_use=self.in_use,
            limit=round(min(self.limit, rate_bound)),
            queued_urgent=len(self.waiting.urgent),
            queued_routine=len(self.waiting.routine),
            service_time_ms=self.times.expected_ms(now),
            success_rate=self.times.success.value,
            accepts=self.accepting,
            uptime_s=now - self.started_at,
            sequence=next(self.sequence),
        )

    def _may_start(self, urgent: bool, now: float) -> bool:
        return self._has_slot(urgent) and self.rate_limiter.allows(now)

    def _schedule_rate_limit_wake(self, now: float) -> None:
        """Schedule a wake-up for when the rate limit allows another request, if a slot is free.

        Not if the rate limit allows one now: queued requests then wait for a slot or for the server
        to become faster, and the wake-up would be repeated endlessly.
        """
        next_start_at = self.rate_limiter.next_start_at(now)
        self.rate_limit_wake_at = (
            next_start_at if next_start_at > now and self.in_use < self.limit else None
        )

    def _excessive_wait_ms(self, profile: CallProfile, now: float) -> float:
        """Return the wait for the requested rate limit if it makes a request late, else 0.

        A request without a goal is late if it waits for longer than it runs.
        """
        if not self.rate_limiter.requested.is_active(now):
            return 0.0
        wait_ms = self.rate_limiter.wait_s(len(self.waiting), now) * 1000
        work_ms = self.estimates.work_ms(profile)
        acceptable_ms = (
            work_ms if math.isinf(profile.goal) else (profile.goal - now) * 1000 - work_ms
        )
        return wait_ms if wait_ms > acceptable_ms else 0.0

    def _rate_limit_wait_ms(self, ahead: int, priority: QueuePriority, now: float) -> float:
        """Return the wait for the rate limit behind ``ahead`` others, in milliseconds."""
        available = max(
            MIN_AVAILABLE_SHARE, 1 - self.priority_shares.share_ahead(priority, self.limit)
        )
        return self.rate_limiter.wait_s(ahead, now) * 1000 / available

    def _has_slot(self, urgent: bool) -> bool:
        if urgent and self.in_use - self.routine_running < self.urgent_slots:
            # Even if the limit has fallen so low that routine requests fill it: an urgent request
            # would otherwise wait for a long routine one to end.
            return True
        if self.in_use >= self.limit:
            return False
        return urgent or self.routine_running < self.routine_limit

    def _uses_limit(self) -> bool:
        """Tell whether a higher limit would be used: half of it is in use, or requests wait.

        Routine requests alone never reach the limit, since they can't use the urgent slots.
        """
        return self.in_use * 2 >= self.limit or len(self.profiles) > self.in_use

    def _wait_ms(self, ahead: int, priority: QueuePriority, service_ms: float) -> float:
        """Return the expected wait behind ``ahead`` others, in milliseconds.

        ``limit`` slots become free in one service time. Requests of higher priority that arrive
        during the wait are assumed to take the share of them that they took recently. Failure
        without that: in a surge routine requests are queued that never get a slot, and are rejected
        only when it is too late for them.
        """
        limit = self.routine_limit if priority.routine else self.limit
        available = max(
            MIN_AVAILABLE_SHARE, 1 - self.priority_shares.share_ahead(priority, self.limit)
        )
        return (ahead + 1) * service_ms / (limit * available)

    def _start(self, ticket: int, profile: CallProfile, now: float) -> None:
        self.rate_limiter.record_sent(now)
        self.times.start(ticket, now, profile.kind)
        self.concurrency_at_start[ticket] = self.in_use
        self.profiles[ticket] = profile
        work_ms = self.estimates.work_ms(profile)
        self.priority_shares.record_start(self.priorities.pop(ticket), work_ms, now)
        self.workspace_shares.record_start(profile.workspace, work_ms, now)
        if not profile.urgent:
            self.routine_running += 1

    def _end(self, ticket: int, now: float) -> float | None:
        ran_ms = self.times.end(ticket, now)
        self.due_times.pop(ticket, None)
        self.concurrency_at_start.pop(ticket, None)
        if ran_ms is not None and not self.profiles.pop(ticket).urgent:
            self.routine_running -= 1
        return ran_ms

    def _start_queued(self, now: float) -> list[int]:
        started = []
        for urgent in (True, False):
            queue = self.waiting.of_class(urgent)
            while len(queue) and self._may_start(urgent, now):
                ticket = queue.first
                if self.estimates.waits(self.profiles[ticket], now):
                    break
                self.waiting.remove(ticket)
                self._start(ticket, self.profiles[ticket], now)
                started.append(ticket)
        if self.waiting:
            self._schedule_rate_limit_wake(now)
        return started

    def _drop_queued(self, ticket: int) -> None:
        if ticket in self.waiting:
            self.waiting.remove(ticket)
            del self.profiles[ticket], self.due_times[ticket], self.priorities[ticket]

    def _first_latest_start(self) -> float:
        """Return the earliest of the latest start times of the queued requests."""
        ticket = self.waiting.by_latest_start.first
        return self.estimates.latest_start(self.profiles[ticket], self.due_times[ticket])

    def _drop_late(self, now: float) -> list[int]:
        """Drop and return the requests that could not finish in time even if they started now."""
        late = []
        while self.waiting and self._first_latest_start() <= now:
            late.append(self.waiting.by_latest_start.first)
            self._drop_queued(late[-1])
        return late

    def _next_stall(self) -> float | None:
        """Return when the server counts as stalled unless an execution ends before."""
        stalls_at = self.times.stalls_at()
        return stalls_at if self.waiting and stalls_at != self.handled_stall else None

    def _drop_first_attempts(self) -> list[int]:
        """Drop and return the queued requests that no other node has rejected yet.

        Failure: a neighbour takes the processor for a moment, and all queued requests keep waiting
        although other servers have capacity. Returned as not run, each costs one hop. Second
        attempts stay: for them more servers of the service than this one are slow.
        """
        queued = self.waiting.tickets()
        first = [ticket for ticket in queued if self.profiles[ticket].attempt == 1]
        for ticket in first:
            self._drop_queued(ticket)
        return first

    def _drop_displaced(self, service_ms: float, now: float) -> list[int]:
        """Drop and return the routine requests that would finish too late at their queue position.

        Failure: a surge of urgent requests, or a lowered limit, leaves routine ones waiting for a
        slot that becomes free too late, and their callers get an error only at the deadline. The
        slack is wide because a burst of urgent work passes: dropping at the first sign rejected
        many that would have been served.
        """
        late: list[int] = []
        for key, ticket in list(self.waiting.routine.entries):
            ahead = self.waiting.ahead_of(False, key) - 1
            need_ms = self._wait_ms(ahead, self.priorities[ticket], service_ms) + service_ms
            if need_ms > (self.due_times[ticket] - now) * 1000 * DISPLACED_SLACK:
                self._drop_queued(ticket)
                late.append(ticket)
        return late


def _reject(reason: ErrorCode, retry_after_ms: float) -> Decision:
    return Decision(Verdict.REJECT, reason, max(1, round(retry_after_ms)))
