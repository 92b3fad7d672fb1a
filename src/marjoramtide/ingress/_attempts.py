"""The tries made for one request."""

import attrs

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import (
    NotRunError,
    Request,
    RequestBody,
    RequestFailedError,
    Response,
    UnknownOutcomeError,
)
from marjoramtide.ingress._class_budgets import ClassBudgets
from marjoramtide.ingress._decision import Decision
from marjoramtide.ingress._service_state import ServiceState
from marjoramtide.settings import RouteSettings

RETRY_AFTER_JITTER = 1.5
# Runs that may be lost with their servers or nodes until a request is not given to another one.
MAX_LOST = 2
LOST = frozenset((ErrorCode.PEER_LOST, ErrorCode.BACKEND_FAILED, ErrorCode.TRUNCATED))


@attrs.define(slots=True, eq=False, repr=False)
class Attempts:
    """What has been tried, and what may be told of it.

    ``unknown`` is the first failure after which a backend server may have begun the request. While
    it is set, "not run" would be a lie whatever later tries say. ``count`` is how many nodes were
    asked, ``turned_away`` how many of them refused before their backend server saw the request.
    ``slowed`` are nodes that refused only because their backend server is slow at this moment.
    ``running`` holds when each try that has not ended was begun, by its node; ``lost`` when those
    were that broke off without an answer, with whatever ran them.
    ``story`` holds what became of each try, for the log of a request that fails.
    """

    request: Request
    body: RequestBody
    settings: RouteSettings
    state: ServiceState
    excluded: set[str] = attrs.Factory(set)
    rejected_by: set[str] = attrs.Factory(set)
    slowed: set[str] = attrs.Factory(set)
    count: int = 0
    turned_away: int = 0
    running: dict[str, float] = attrs.Factory(dict)
    lost: list[float] = attrs.Factory(list)
    unknown: UnknownOutcomeError | None = None
    refused: RequestFailedError | None = None
    answers: list[Response] = attrs.Factory(list)
    story: list[Decision] = attrs.Factory(list)

    @property
    def budgets(self) -> ClassBudgets:
        return self.state.budgets[self.request.urgent]

    def note(self, error: RequestFailedError) -> None:
        """Remember how a try failed."""
        if isinstance(error, UnknownOutcomeError):
            self.unknown = self.unknown or error
        else:
            if error.code is ErrorCode.UNKNOWN_SERVICE:
                # Failure: an instance was replaced, and its address belongs to a node of another
                # service, which says so. Told on, the caller hears "not found" of a route that is
                # there. Whether a route is there is this node's own knowledge alone.
                error.code = ErrorCode.NO_CANDIDATE
            self.refused = error
            if error.code is ErrorCode.EVACUATED:
                # That this node has not heard of it yet must not use up the caller's tries.
                self.count -= 1
            else:
                self.turned_away += not error.reached_backend

    def settle(self, ended: Response | BaseException) -> Exception | None:
        """Take the end of a try: ``None`` where its answer is final, else how it failed.

        A server error of an idempotent request is kept as the answer for want of a better one.
        """
        if isinstance(ended, Response):
            self.answers.append(ended)
            if not ended.is_server_error:
                return None
            return UnknownOutcomeError(
                ErrorCode.BACKEND_FAILED, f"status {ended.status}", step="ingress.attempt"
            )
        if not isinstance(ended, RequestFailedError):
            raise ended
        self.note(ended)
        return ended

    def take_answer(self) -> Response:
        """Return the last answer, for the caller; it is no longer ours to close."""
        return self.answers.pop()

    def may_retry(self, error: Exception, now: float) -> bool:
        """Tell whether another try is allowed after ``error``, and charge its budget.

        A request that may have begun goes on only where it is idempotent; one that certainly did
        not run goes on whatever it is. A body that was read from the caller can't be sent again.
        """
        if now >= self.request.deadline or not self.may_ask():
            return False
        if is_over(error):
            return False
        if not self.body.repeatable:
            return False
        if isinstance(error, NotRunError) and not error.reached_backend:
            return self.budgets.rejections.withdraw(now)
        if isinstance(error, NotRunError):
            return self.budgets.retries.withdraw(now)
        return self.request.idempotent and self.budgets.retries.withdraw(now)

    def may_ask(self) -> bool:
        """Tell whether the route allows another node to be asked.

        A node that refuses knows that its backend server saw nothing, so asking another one costs a
        hop and no execution. Servers that may have seen the request are what ``max_attempts``
        bounds; a try under way counts as one of them.
        """
        if self.may_be_lost_again():
            return False
        asks = self.settings.max_asks or self.settings.max_attempts
        reached_at_most = self.count - self.turned_away
        return self.count < asks and reached_at_most < self.settings.max_attempts

    def may_be_lost_again(self) -> bool:
        """Tell whether one more run might be the third that is lost.

        Failure: a request ends the server that runs it, which takes some time to end, so that
        nobody knows of it yet. Where the route allows three tries, one attempt of a caller ended
        three servers; also by a second try beside the first, which was under way when that was
        lost. A try that has run for longer than one that was lost speaks for the request.
        """
        if not self.lost:
            return False
        younger = sum(began > self.lost[-1] for began in self.running.values())
        return len(self.lost) + younger >= MAX_LOST

    def began(self, node: str, now: float) -> None:
        """Note a try that begins."""
        self.running[node] = now

    def ended(self, node: str, error: BaseException | None = None) -> None:
        """Note the end of a try, by an answer or an error."""
        began = self.running.pop(node)
        if isinstance(error, UnknownOutcomeError) and error.code in LOST:
            self.lost.append(began)

    def final_error(self, now: float) -> RequestFailedError:
        """Return what the caller is told when there is no answer."""
        if self.unknown is not None:
            error: RequestFailedError = self.unknown
        elif self.refused is not None:
            error = self.refused
        else:
            error = NotRunError(
                ErrorCode.NO_CANDIDATE, "no backend server may be asked", step="ingress.choose"
            )
        if self.refused is not None and self.refused.code is ErrorCode.QUARANTINED:
            # Also where an earlier try may have run: to come back sooner is in vain.
            error.retry_after_ms = self.refused.retry_after_ms
        if error.retry_after_ms is None:
            error.retry_after_ms = self.state.selector.retry_after_ms(now)
        else:
            # A full node tells all that it turns away in one moment the same. They would come back
            # in one moment, and be turned away again.
            error.retry_after_ms = round(
                error.retry_after_ms * self.state.rng.uniform(1, RETRY_AFTER_JITTER)
            )
        return error


def is_over(error: Exception) -> bool:
    """Tell whether a failure is the last word, whatever time and budgets are left.

    What is held back is held back by all nodes of the service, or will be within moments; what is
    not begun since its calls are refused would lack them beside each server. A try
    that has run until the deadline leaves some milliseconds, since the serving node gives up a
    little before: another server would begin in vain, and where the request has frozen the first
    one it freezes a second.
    """
    if isinstance(error, NotRunError):
        return error.code in (ErrorCode.QUARANTINED, ErrorCode.CALLS_SHORT)
    return isinstance(error, UnknownOutcomeError) and error.code is ErrorCode.DEADLINE
