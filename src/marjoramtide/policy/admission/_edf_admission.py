"""Admission by deadline, with slots kept for urgent requests."""

import itertools
import math

import attrs

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import LoadReport, first_sequence
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.admission._admission import Admission, Decision, Verdict
from marjoramtide.policy.admission._call_throttle import CallThrottle
from marjoramtide.policy.admission._cold_gate import ColdRule
from marjoramtide.policy.admission._execution_times import ExecutionTimes
from marjoramtide.policy.admission._limiter import Limiter
from marjoramtide.policy.admission._limiters import make_limiter
from marjoramtide.policy.admission._run_estimates import RunEstimates
from marjoramtide.policy.admission._server_gate import ServerGate
from marjoramtide.policy.admission._standing import Standing, standing_of
from marjoramtide.policy.admission._standing_shares import StandingShares
from marjoramtide.policy.admission._waiting_requests import Place, WaitingRequests
from marjoramtide.policy.admission._workspace_shares import WorkspaceShares
from marjoramtide.policy.pace import Pace
from marjoramtide.settings import RouteSettings

DRAINING_RETRY_MS = 1000
RECHECK_SLACK = 3.0
# The least share of the slots that is reckoned to be left for what goes last: estimates of the rest
# are known to a few in a hundred.
LEAST_LEFT = 0.02


@attrs.define(slots=True, eq=False, repr=False)
class EdfAdmission(Admission):
    """Earliest deadline first inside a class, urgent before routine, within a limit.

    A request that arrives starts where a slot is free for its class, waits where it can still
    finish in time, and is rejected otherwise, with the time at which it would have been taken. Of
    the limit, ``urgent_slots`` are never given to routine requests (but at least one slot is theirs
    to use), so an urgent request doesn't wait for a routine one to end. Queues are bounded by
    ``queue_limit`` for each class. A queued routine request that urgent ones have pushed behind its
    deadline is dropped by ``expire``, never one that has started.
    """

    limiter: Limiter
    urgent_slots: int
    queue_limit: int
    started_at: float
    accepting: bool = True
    runs: RunEstimates = attrs.Factory(RunEstimates)
    waiting: WaitingRequests = attrs.Factory(WaitingRequests)
    profiles: dict[int, CallProfile] = attrs.Factory(dict)
    dues: dict[int, float] = attrs.Factory(dict)
    began_with: dict[int, int] = attrs.Factory(dict)
    incarnation: int = 0
    sequence: "itertools.count[int]" = attrs.Factory(lambda: itertools.count(first_sequence(0)))
    shares: StandingShares = attrs.Factory(StandingShares)
    workspaces: WorkspaceShares = attrs.Factory(WorkspaceShares)
    standings: dict[int, Standing] = attrs.Factory(dict)
    throttles: dict[str, CallThrottle] = attrs.Factory(dict)
    routine_running: int = 0
    stall_seen: float | None = None
    limited_by: tuple[str, int, int] = ("", 0, 0)
    recheck_at: float | None = None
    resume_at: float | None = None
    gate: ServerGate = attrs.field()
    gate_opens_at: float | None = None

    @gate.default
    def _gate_from_the_start(self) -> ServerGate:
        return ServerGate(self.started_at)

    @property
    def times(self) -> ExecutionTimes:
        return self.runs.times

    @property
    def pace(self) -> Pace:
        return self.runs.pace

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
        wanted = (settings.limiter, settings.slots, settings.min_limit)
        if wanted != self.limited_by:
            self.limiter = make_limiter(settings)
            self.limited_by = wanted
        self.urgent_slots = settings.urgent_slots
        self.queue_limit = settings.queue_limit
        self.gate.cold.set_rule(
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
        self.runs = RunEstimates()
        self.limiter = self.limiter.fresh()
        self.shares = StandingShares()
        self.workspaces = WorkspaceShares()
        self.throttles = {}
        self.stall_seen = None
        self.gate.server_started(now)
        self.set_pace(Pace())
        self.started_at = now
        self.incarnation += 1
        self.sequence = itertools.count(first_sequence(self.incarnation))
        return self._start_queued(now)

    def set_accepting(self, accepting: bool) -> None:
        self.accepting = accepting

    def note_cold(self, left_s: float, now: float) -> None:
        self.gate.cold.note_cold(left_s, now)

    def name_rate(self, rate_per_s: float | None, since: float, now: float) -> None:
        self.gate.named.name(rate_per_s, since, now)

    def set_pace(self, pace: Pace) -> None:
        self.runs.set_pace(pace)
        self.resume_at = pace.decide_again_at if pace.decide_again_at < math.inf else None

    def resume(self, now: float) -> list[int]:
        if self.resume_at is not None and self.resume_at <= now:
            self.resume_at = None
        self.gate_opens_at = None
        return self._start_queued(now)

    def release(self) -> list[int]:
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
        throttle = self._throttle(profile.kind)
        if not profile.is_call and not throttle.admits(now):
            return _reject(ErrorCode.CALLS_SHORT, throttle.come_back_ms())
        if profile.attempt == 1 and (silence := self.times.silence_ms(now)):
            # Failure: a neighbour takes the processor for a moment, and what arrives in that moment
            # runs ten times slower although others have room. Turned away at once, it costs its
            # caller one hop. Only first attempts are: where all are slow, the second one runs.
            return _reject(ErrorCode.OVERLOADED, silence)
        if profile.attempt == 1 and self.runs.misses_goal(profile, now):
            # Failure: a neighbour has slowed this server down since its last report, and a booking
            # that arrives now takes four times as long here, although others are quick. Turned away
            # at once it costs a hop; whoever asks again has found nobody quicker.
            return _reject(ErrorCode.SLOWED, self.pace.recovers_in_ms(now))
        if profile.attempt == 1 and (wait_ms := self._long_wait_ms(profile, now)):
            # Failure: a server that has named a limit lets what arrives wait for its turn, late,
            # though others have room. Turned away at once it costs a hop.
            return _reject(ErrorCode.RATE_LIMITED, wait_ms)
        work_ms = self.runs.work_ms(profile)
        due = self.dues[ticket] = self.runs.due(profile, now)
        self.workspaces.asked(profile.workspace, work_ms, now)
        over_share = self.workspaces.is_over(profile.workspace, work_ms, now)
        self.standings[ticket] = standing_of(profile, due, over_share)
        if self._may_start(profile.urgent, now) and not self.runs.waits(profile, now):
            decision = self._start_or_reject(ticket, profile, remaining_ms, now)
        else:
            decision = self._queue_or_reject(ticket, profile, now)
        if decision.verdict is Verdict.REJECT:
            del self.dues[ticket], self.standings[ticket]
        return decision

    def _throttle(self, kind: str) -> CallThrottle:
        return self.throttles.setdefault(kind, CallThrottle())

    def _start_or_reject(
        self, ticket: int, profile: CallProfile, remaining_ms: float, now: float
    ) -> Decision:
        # Where nothing runs, one is let in whatever was measured before. Otherwise a server that
        # was slow once would refuse everything as too late, never run anything, and so never find
        # out that it is quick again.
        if self.in_use and remaining_ms < self.times.kind(profile.kind).quick.value:
            return _reject(ErrorCode.DEADLINE, 0.0)
        self._start(ticket, profile, now)
        return Decision(Verdict.START)

    def _queue_or_reject(self, ticket: int, profile: CallProfile, now: float) -> Decision:
        waits = self.runs.waits(profile, now)
        service_ms = self.times.expected_ms(now)
        if waits:
            service_ms *= self.pace.best_slowdown / self.pace.slowdown
        due = self.dues[ticket]
        remaining_ms = (due - now) * 1000
        standing = self.standings[ticket]
        # A call waits before all of its rank that no other run waits for: what is in the queue
        # already is due later than now. Failure: a request holds a slot at another server, and its
        # call waits here behind requests that hold none, or is refused for want of room; then the
        # whole run was in vain.
        order = standing.order(now if profile.is_call else due)
        ahead = self.waiting.ahead_of(profile.urgent, order)
        wait_ms = self._wait_ms(ahead, standing, service_ms)
        own_ms = self.runs.own_ms(profile, due, now)
        gate_ms = self._gate_wait_ms(ahead, standing, now)
        if not self.gate.holds(now) and self._has_slot(profile.urgent):
            # Slots are free, and it waits for the pace alone.
            wait_ms = 0.0
        if waits:
            wait_ms += self.pace.recovers_in_ms(now)
        if profile.urgent and self.urgent_slots and own_ms:
            # Slots that only urgent requests use free at their pace, not at that of the rest.
            wait_ms = min(wait_ms, (ahead + 1) * own_ms / min(self.urgent_slots, self.limit))
        by_rate = gate_ms > wait_ms and self.gate.named.holds(now)
        reason = ErrorCode.RATE_LIMITED if by_rate else ErrorCode.OVERLOADED
        wait_ms = max(wait_ms, gate_ms)
        if len(self.waiting.of(profile.urgent)) >= self.queue_limit:
            return _reject(reason, wait_ms)
        lateness_ms = wait_ms + own_ms - remaining_ms
        if lateness_ms > 0:
            # Failure: a request waits its whole deadline in a queue that could never have served
            # it, and the caller is told at the end. Refused now, the caller can go elsewhere.
            return _reject(reason, min(lateness_ms, wait_ms))
        starts_by = self.runs.latest_start(profile, due)
        self.waiting.add(ticket, Place(profile.urgent, order, starts_by))
        self._wait_for_gate(now)
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
        lacked_calls: bool = False,
    ) -> list[int]:
        pressed = self._is_pressed()
        kind = self.profiles[ticket].kind if ticket in self.profiles else ""
        self._throttle(kind).ended(lacked_calls, now)
        running = self.began_with.get(ticket, 1)
        if self._end(ticket, now) is None:
            return []
        comparable_ms = self.times.comparable_ms(duration_ms, kind)
        self.times.learn(duration_ms, succeeded, kind)
        before = self.limit
        self.limiter.observe(comparable_ms, pressed, succeeded, running)
        if self.limit < before and self.profiles:
            self.recheck_at = now
        return self._start_queued(now)

    def withdraw(self, ticket: int, now: float) -> list[int]:
        if ticket not in self.times.running:
            self._drop_queued(ticket)
            return []
        ran_ms = self._end(ticket, now)
        self.times.learn_at_least(ran_ms or 0.0)
        return self._start_queued(now)

    def expire(self, now: float) -> list[int]:
        service_ms = self.times.expected_ms(now)
        late = self._too_late(now)
        stalls_at = self._next_stall()
        if stalls_at is not None and stalls_at <= now:
            self.stall_seen = stalls_at
            late += self._first_attempts()
        if self.recheck_at is not None:
            self.recheck_at = None
            late += self._pushed_back(service_ms, now)
        return late

    def next_expiry(self) -> float | None:
        if not self.waiting:
            return None
        looks = (self.recheck_at, self._next_stall(), self.resume_at, self.gate_opens_at)
        return min([self._first_late(), *(each for each in looks if each is not None)])

    def come_back_ms(self, now: float) -> int:
        waiting = len(self.waiting)
        ahead = waiting + max(0, self.in_use + 1 - self.limit)
        slot_ms = ahead * self.times.expected_ms(now) / self.limit
        return max(1, round(max(slot_ms, self.gate.wait_s(waiting, now) * 1000)))

    def short_workspaces(self, now: float) -> frozenset[str]:
        return self.workspaces.over(now) if self.waiting else frozenset()

    def report(self, now: float) -> LoadReport:
        # Others share out work by it: a server has room for what it bears, in slots.
        borne = self.gate.concurrency(self.times.mean.value, now)
        return LoadReport(
            in_use=self.in_use,
            limit=round(min(self.limit, borne)),
            queued_urgent=len(self.waiting.urgent),
            queued_routine=len(self.waiting.routine),
            service_time_ms=self.times.expected_ms(now),
            success_rate=self.times.success.value,
            accepts=self.accepting,
            uptime_s=now - self.started_at,
            sequence=next(self.sequence),
        )

    def _may_start(self, urgent: bool, now: float) -> bool:
        return self._has_slot(urgent) and self.gate.allows(now)

    def _wait_for_gate(self, now: float) -> None:
        """Look again when the server bears another request, where that is all that is lacking.

        Not where it is open: what is queued then waits for the pace or for a slot, and would be
        looked at without an end.
        """
        opens_at = self.gate.opens_at(now)
        self.gate_opens_at = opens_at if opens_at > now and self.in_use < self.limit else None

    def _long_wait_ms(self, profile: CallProfile, now: float) -> float:
        """Return the wait for the server's named limit where it makes a request late, else 0.

        Without a goal late is what waits for longer than it runs.
        """
        if not self.gate.named.holds(now):
            return 0.0
        wait_ms = self.gate.wait_s(len(self.waiting), now) * 1000
        work_ms = self.runs.work_ms(profile)
        borne_ms = work_ms if math.isinf(profile.goal) else (profile.goal - now) * 1000 - work_ms
        return wait_ms if wait_ms > borne_ms else 0.0

    def _gate_wait_ms(self, ahead: int, standing: Standing, now: float) -> float:
        """Return the wait for the gate behind ``ahead`` others, in milliseconds."""
        left = max(LEAST_LEFT, 1 - self.shares.before(standing, self.limit))
        return self.gate.wait_s(ahead, now) * 1000 / left

    def _has_slot(self, urgent: bool) -> bool:
        if urgent and self.in_use - self.routine_running < self.urgent_slots:
            # Also where the limit has fallen so low that routine requests fill it: an urgent one
            # would otherwise wait for a long routine one to end.
            return True
        if self.in_use >= self.limit:
            return False
        return urgent or self.routine_running < self.routine_limit

    def _is_pressed(self) -> bool:
        """Tell whether a higher limit would be used: at half of it, or with anything waiting.

        Routine requests alone never reach the limit, since some slots aren't theirs.
        """
        return self.in_use * 2 >= self.limit or len(self.profiles) > self.in_use

    def _wait_ms(self, ahead: int, standing: Standing, service_ms: float) -> float:
        """Return the expected wait behind ``ahead`` others, in milliseconds.

        A slot frees ``limit`` times in a service time. Of those that a request could get, what goes
        before it and arrives while it waits takes the share that it had lately. Failure without
        that: in a surge routine requests are queued that never get a slot, and are refused only
        when it is too late for them.
        """
        limit = self.routine_limit if standing.routine else self.limit
        left = max(LEAST_LEFT, 1 - self.shares.before(standing, self.limit))
        return (ahead + 1) * service_ms / (limit * left)

    def _start(self, ticket: int, profile: CallProfile, now: float) -> None:
        self.gate.note_sent(now)
        self.times.start(ticket, now, profile.kind)
        self.began_with[ticket] = self.in_use
        self.profiles[ticket] = profile
        work_ms = self.runs.work_ms(profile)
        self.shares.started(self.standings.pop(ticket), work_ms, now)
        self.workspaces.begun(profile.workspace, work_ms, now)
        if not profile.urgent:
            self.routine_running += 1

    def _end(self, ticket: int, now: float) -> float | None:
        ran_ms = self.times.end(ticket, now)
        self.dues.pop(ticket, None)
        self.began_with.pop(ticket, None)
        if ran_ms is not None and not self.profiles.pop(ticket).urgent:
            self.routine_running -= 1
        return ran_ms

    def _start_queued(self, now: float) -> list[int]:
        started = []
        for urgent in (True, False):
            queue = self.waiting.of(urgent)
            while len(queue) and self._may_start(urgent, now):
                ticket = queue.first
                if self.runs.waits(self.profiles[ticket], now):
                    break
                self.waiting.remove(ticket)
                self._start(ticket, self.profiles[ticket], now)
                started.append(ticket)
        if self.waiting:
            self._wait_for_gate(now)
        return started

    def _drop_queued(self, ticket: int) -> None:
        if ticket in self.waiting:
            self.waiting.remove(ticket)
            del self.profiles[ticket], self.dues[ticket], self.standings[ticket]

    def _first_late(self) -> float:
        """Return until when the first that must start has to start to end in time."""
        ticket = self.waiting.by_start.first
        return self.runs.latest_start(self.profiles[ticket], self.dues[ticket])

    def _too_late(self, now: float) -> list[int]:
        """Drop and return what could not finish even if it started now."""
        late = []
        while self.waiting and self._first_late() <= now:
            late.append(self.waiting.by_start.first)
            self._drop_queued(late[-1])
        return late

    def _next_stall(self) -> float | None:
        """Return when the queue is to be handed back unless an execution ends before."""
        stalls_at = self.times.stalls_at()
        return stalls_at if self.waiting and stalls_at != self.stall_seen else None

    def _first_attempts(self) -> list[int]:
        """Drop and return the queued requests that no other node has refused yet.

        Failure: a neighbour takes the processor for a moment, and all that waits here waits on,
        although others have room. Handed back as not run, each costs one hop. Second attempts
        stay: they come from a service of which more than this node is slow.
        """
        queued = self.waiting.tickets()
        first = [ticket for ticket in queued if self.profiles[ticket].attempt == 1]
        for ticket in first:
            self._drop_queued(ticket)
        return first

    def _pushed_back(self, service_ms: float, now: float) -> list[int]:
        """Drop and return the routine requests that no longer finish in time where they stand.

        Failure: a surge of urgent requests, or a limit that fell, leaves routine ones waiting for
        a slot that comes too late, and their callers hear of it only at the deadline. The wide
        slack is there because a burst of urgent work passes: dropping at the first sign refused in
        the middle of their wait many that would have been served.
        """
        late: list[int] = []
        for order, ticket in list(self.waiting.routine.entries):
            ahead = self.waiting.ahead_of(False, order) - 1
            need_ms = self._wait_ms(ahead, self.standings[ticket], service_ms) + service_ms
            if need_ms > (self.dues[ticket] - now) * 1000 * RECHECK_SLACK:
                self._drop_queued(ticket)
                late.append(ticket)
        return late


def _reject(reason: ErrorCode, retry_after_ms: float) -> Decision:
    return Decision(Verdict.REJECT, reason, max(1, round(retry_after_ms)))
