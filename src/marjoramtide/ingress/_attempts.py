"""The attempts made for one request."""

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

# A Retry-After from a serving node is multiplied by a random factor from 1 up to this.
RETRY_AFTER_JITTER = 1.5
# A request is not sent to another node after this many of its runs were lost with their server or
# node.
MAX_LOST_RUNS = 2
LOST_SERVER_CODES = frozenset((ErrorCode.BACKEND_FAILED, ErrorCode.TRUNCATED))
LOST_RUN_CODES = LOST_SERVER_CODES | {ErrorCode.PEER_LOST}


@attrs.define(slots=True, eq=False, repr=False)
class Attempts:
    """The attempts of one request, and which final response they allow.

    ``count`` is the number of nodes the request was sent to, ``not_reached_backend`` how many of
    them rejected it before their backend server saw it. ``rejected_by`` are the nodes that rejected
    it, ``slowed_nodes`` those that did so only because their backend server is slow at the moment,
    ``lost_server_at`` those whose backend server ended the attempt without a complete response.

    ``running_since`` holds the start of each attempt in progress by node, ``lost_since`` the starts
    of those that were lost with the server or node that ran them.

    ``unknown_error`` is the first failure after which a backend server may have begun the request.
    Once it is set, the final response must not be "not run", whatever later attempts report.
    ``not_run_error`` is the last failure of the other kind.

    ``decisions`` records the outcome of each attempt, for the log of a request that fails.
    """

    request: Request
    body: RequestBody
    settings: RouteSettings
    state: ServiceState
    excluded: set[str] = attrs.Factory(set)
    rejected_by: set[str] = attrs.Factory(set)
    slowed_nodes: set[str] = attrs.Factory(set)
    lost_server_at: set[str] = attrs.Factory(set)
    count: int = 0
    not_reached_backend: int = 0
    running_since: dict[str, float] = attrs.Factory(dict)
    lost_since: list[float] = attrs.Factory(list)
    unknown_error: UnknownOutcomeError | None = None
    not_run_error: RequestFailedError | None = None
    responses: list[Response] = attrs.Factory(list)
    decisions: list[Decision] = attrs.Factory(list)

    @property
    def budgets(self) -> ClassBudgets:
        return self.state.budgets[self.request.urgent]

    def record_failure(self, error: RequestFailedError) -> None:
        """Record how an attempt failed."""
        if isinstance(error, UnknownOutcomeError):
            self.unknown_error = self.unknown_error or error
        else:
            if error.code is ErrorCode.UNKNOWN_SERVICE:
                # The address of a replaced instance may belong to a node of another service by now.
                # Passed on to the caller, its response would be a 404 for a route that exists; only
                # this node's own settings decide that.
                error.code = ErrorCode.NO_CANDIDATE
            self.not_run_error = error
            if error.code is ErrorCode.EVACUATED:
                # This node has not learned of the evacuation yet. That must not use up the attempts
                # that the route allows.
                self.count -= 1
            else:
                self.not_reached_backend += not error.reached_backend

    def record_result(self, result: Response | BaseException) -> Exception | None:
        """Record the end of an attempt; return its failure, or ``None`` for a final response.

        A server error in response to an idempotent request is kept in case no attempt does better.
        """
        if isinstance(result, Response):
            self.responses.append(result)
            if not result.is_server_error:
                return None
            return UnknownOutcomeError(
                ErrorCode.BACKEND_FAILED, f"status {result.status}", step="ingress.attempt"
            )
        if not isinstance(result, RequestFailedError):
            raise result
        self.record_failure(result)
        return result

    def pop_response(self) -> Response:
        """Return the last response; the caller of this method has to close it from now on."""
        return self.responses.pop()

    def may_retry(self, error: Exception, now: float) -> bool:
        """Return whether to make another attempt after ``error``, and charge its budget.

        A request that may have begun is retried only if it is idempotent; one that certainly did
        not run is always safe to retry. A body that was streamed from the caller can't be resent.
        """
        if now >= self.request.deadline or not self.may_start_attempt():
            return False
        if is_final(error):
            return False
        if not self.body.is_replayable:
            return False
        if isinstance(error, NotRunError) and not error.reached_backend:
            return self.budgets.rejections.withdraw(now)
        if isinstance(error, NotRunError):
            return self.budgets.retries.withdraw(now)
        return self.request.idempotent and self.budgets.retries.withdraw(now)

    def may_start_attempt(self) -> bool:
        """Return whether the route allows the request to be sent to one more node.

        A node that rejects a request knows that its backend server did not see it, so the next
        attempt costs a hop and no execution. ``max_attempts`` limits the backend servers that may
        have seen the request; attempts in progress count as such.
        """
        if self.may_lose_another_run():
            return False
        max_sent = self.settings.max_asks or self.settings.max_attempts
        max_reached = self.count - self.not_reached_backend
        return self.count < max_sent and max_reached < self.settings.max_attempts

    def may_lose_another_run(self) -> bool:
        """Return whether one more run could be the third that is lost.

        Failure: a request crashes the server that runs it, and the crash takes some time, so that
        no node knows of it yet. On a route with three attempts one caller's request crashed three
        servers, also by a hedge that was in progress when the first run was lost. An attempt that
        has been running for longer than a lost one indicates that the request is harmless.
        """
        if not self.lost_since:
            return False
        younger = sum(since > self.lost_since[-1] for since in self.running_since.values())
        return len(self.lost_since) + younger >= MAX_LOST_RUNS

    def attempt_started(self, node: str, now: float) -> None:
        """Record the start of an attempt."""
        self.running_since[node] = now

    def attempt_ended(self, node: str, error: BaseException | None = None) -> None:
        """Record the end of an attempt, by a response or by ``error``."""
        since = self.running_since.pop(node)
        if isinstance(error, UnknownOutcomeError) and error.code in LOST_RUN_CODES:
            self.lost_since.append(since)

    def final_error(self, now: float) -> RequestFailedError:
        """Return the error for the caller when no attempt got a response."""
        if self.unknown_error is not None:
            error: RequestFailedError = self.unknown_error
        elif self.not_run_error is not None:
            error = self.not_run_error
        else:
            error = NotRunError(
                ErrorCode.NO_CANDIDATE,
                "no backend server is available for the request",
                step="ingress.choose",
            )
        if self.not_run_error is not None and self.not_run_error.code is ErrorCode.QUARANTINED:
            # Even if an earlier attempt may have run: the request stays quarantined for this long.
            error.retry_after_ms = self.not_run_error.retry_after_ms
        if error.retry_after_ms is None:
            error.retry_after_ms = self.state.selector.retry_after_ms(now)
        else:
            # A full node gives all callers that it rejects at one moment the same delay. Without
            # jitter they would all return at one moment and be rejected again.
            error.retry_after_ms = round(
                error.retry_after_ms * self.state.rng.uniform(1, RETRY_AFTER_JITTER)
            )
        return error


def is_final(error: Exception) -> bool:
    """Return whether a failure rules out another attempt, whatever time and budgets are left.

    A quarantined request is rejected by all nodes of the service, or will be within moments. One
    that was not started because its nested calls are being refused would lack them at any server.
    An attempt that ran until the deadline leaves a few milliseconds, since the serving node gives
    up slightly earlier: another server would start in vain, and a request that froze the first
    server would freeze a second one.
    """
    if isinstance(error, NotRunError):
        return error.code in (ErrorCode.QUARANTINED, ErrorCode.CALLS_SHORT)
    return isinstance(error, UnknownOutcomeError) and error.code is ErrorCode.DEADLINE
