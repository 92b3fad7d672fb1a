"""Tokens by which a backend server's calls name the requests that they are made for."""

import secrets

import attrs

from marjoramtide.clock import Clock
from marjoramtide.exchange import Request, RunRegistry
from marjoramtide.serving._running_requests import MAX_RUN_S

TOKEN_BYTES = 16
# Far above what the backend server beside one node runs at once.
MAX_TOKENS = 8192


@attrs.define(slots=True, eq=False, repr=False)
class RequestTokens(RunRegistry):
    """Gives each run a token of its own, good until the run's deadline.

    Callers choose the identities of their requests, so that one may know another's; a token is only
    known to the backend server that was handed the request. ``listener`` knows the runs by the
    identities of their requests.
    """

    clock: Clock
    listener: RunRegistry | None = None
    requests: dict[str, Request] = attrs.Factory(dict)
    process_started_at: float = attrs.field()

    @process_started_at.default
    def _now(self) -> float:
        return self.clock.monotonic()

    def issue(self, request: Request) -> str:
        """Return a new token for a run of a request."""
        if len(self.requests) >= MAX_TOKENS:
            del self.requests[next(iter(self.requests))]
        token = secrets.token_hex(TOKEN_BYTES)
        self.requests[token] = request
        self._discard_expired()
        return token

    def find(self, run: str) -> Request | None:
        request = self.requests.get(run)
        if request is None or self.clock.monotonic() > request.deadline:
            return None
        return request

    def record_refused_call(self, run: str) -> None:
        request = self.find(run)
        if request is not None and self.listener is not None:
            self.listener.record_refused_call(request.request_id)

    def may_have_run(self, run: str) -> bool:
        return run in self.requests or self.clock.monotonic() - self.process_started_at < MAX_RUN_S

    def _discard_expired(self) -> None:
        now = self.clock.monotonic()
        while self.requests:
            oldest = next(iter(self.requests))
            if self.requests[oldest].deadline >= now:
                return
            del self.requests[oldest]
