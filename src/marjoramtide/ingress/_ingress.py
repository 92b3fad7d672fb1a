"""The HTTP server for callers."""

import asyncio
import logging
from collections.abc import Iterable
from typing import Any, cast

import attrs
import structlog
from aiohttp import web

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import (
    NotRunError,
    Request,
    RequestBody,
    RequestFailedError,
    Response,
    UnknownOutcomeError,
    inline_body,
)
from marjoramtide.ingress._authenticator import Authenticator
from marjoramtide.ingress._caller_connection import CallerConnection, error_fields
from marjoramtide.ingress._caller_protocol import CallerProtocol
from marjoramtide.ingress._caller_server import CallerServer
from marjoramtide.ingress._decision import Decision
from marjoramtide.ingress._default_caller_protocol import DefaultCallerProtocol
from marjoramtide.ingress._dispatcher import Dispatcher
from marjoramtide.ingress._read_body import read_body
from marjoramtide.ingress._request_quota import NoQuota, QuotaLease, RequestQuota
from marjoramtide.ingress._startup_grace import StartupGrace
from marjoramtide.settings import DEFAULT_MEMORY_MB, RouteSettings, SettingsView
from marjoramtide.sockets import ConnectionLimits, memory_shares, open_listening_socket
from marjoramtide.telemetry import Metrics, Tracer, parse_traceparent

log = structlog.get_logger()

MAX_HEADERS = 100
# For this long after a refusal the rest of the body is read and discarded: a connection that is
# closed with unread bytes is reset, and the caller might lose the response.
LINGER_S = 2.0
RETRY_AFTER_MS = 1000
# For a node that has no settings yet. A node that starts reads them within 70 to 150 ms. One that
# was cut off catches up within seconds; with this delay its callers would use up their retries
# first.
STARTING_RETRY_AFTER_MS = 200
# Far more than the backend servers behind one node take at once. Each holds up to 64 kB of body.
MAX_IN_PROGRESS = 2048
URGENT_RESERVE = 256
UNSENT_POLL_S = 0.02
BACKLOG = 1024
# Connections taken at once, before any of them can be refused.
ACCEPTS_AT_ONCE = 64
# Closing waits this long, twice, for handlers that the drain has already waited for.
SHUTDOWN_TIMEOUT_S = 0.1


class Ingress:
    """Receives callers' HTTP requests and sends exactly one final response to each."""

    def __init__(
        self,
        node: str,
        view: SettingsView,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
        protocol: CallerProtocol | None = None,
        startup_grace: StartupGrace | None = None,
        authenticator: Authenticator | None = None,
        quotas: RequestQuota | None = None,
        limits: ConnectionLimits | None = None,
    ) -> None:
        """Initialize the server.

        Without a ``startup_grace`` no request waits for settings. Without an ``authenticator`` the
        backend server beside this node can't make calls without a key. Without ``quotas`` no
        workspace is limited.
        """
        self.node = node
        self.startup_grace = startup_grace or StartupGrace(clock)
        self.protocol = protocol or DefaultCallerProtocol()
        self.authenticator = authenticator or Authenticator(view, self.protocol.scheme)
        self.quotas = quotas or NoQuota()
        self.limits = limits or memory_shares(DEFAULT_MEMORY_MB).callers()
        self.view = view
        self.dispatcher = dispatcher
        self.clock = clock
        self.metrics = metrics
        self.tracer = tracer
        self.is_draining = False
        self.is_stopping = False
        self.in_progress = 0
        self.max_in_progress = MAX_IN_PROGRESS
        self.urgent_reserve = URGENT_RESERVE
        self.idle = asyncio.Event()
        self.idle.set()
        self.server: CallerServer | None = None
        self.runner: web.ServerRunner | None = None
        self.site: web.SockSite | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on the callers' address."""
        self.server = CallerServer(
            self.node,
            self.protocol,
            self.metrics,
            self.limits,
            self.handle,
            handler_cancellation=True,
            access_log=None,
            logger=logging.getLogger("marjoramtide.ingress.aiohttp"),
            max_headers=MAX_HEADERS,
            auto_decompress=False,
            lingering_time=LINGER_S,
        )
        self.configure(self.view.revision)
        self.view.on_change(self.configure)
        self.runner = web.ServerRunner(self.server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self.runner.setup()
        listener = open_listening_socket(host, port, self.limits.receive_bytes)
        self.site = web.SockSite(self.runner, listener, backlog=ACCEPTS_AT_ONCE)
        await self.site.start()
        listener.listen(BACKLOG)

    def configure(self, revision: int) -> None:
        """Apply the limits for callers from the settings, at start-up and after each change."""
        assert self.server is not None
        self.server.configure(self.view.node_values)

    async def handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller."""
        self.in_progress += 1
        self.idle.clear()
        started = self.clock.monotonic()
        try:
            http_response = await self.answer(http_request, started)
        except asyncio.CancelledError:
            if not http_request.content.is_eof():
                self.metrics.count("ingress.caller_left")
                log.info(
                    "ingress.caller_left",
                    code=ErrorCode.TRUNCATED,
                    step="ingress.read_body",
                    peer="",
                    caller=http_request.remote,
                )
            raise
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self.idle.set()
        self.metrics.timing("ingress.request", (self.clock.monotonic() - started) * 1000)
        return http_response

    async def answer(self, http_request: web.BaseRequest, now: float) -> web.StreamResponse:
        body: RequestBody | None = None
        request: Request | None = None
        lease: QuotaLease | None = None
        try:
            await self.startup_grace.wait_until(lambda: self.view.is_current)
            self.check_accepting()
            request, settings = self.protocol.read(http_request, self.view, self.tracer, now)
            request = self.authenticator.admit(http_request, request, settings)
            self.check_capacity(request)
            lease = await self.quotas.admit(request)
            body = await self.read_body(http_request, request, settings)
            with self.tracer.span("ingress", request.trace) as span:
                if span is not None:
                    span.attributes |= {"method": request.method, "service": request.service}
                    if parse_traceparent(http_request.headers.get("Traceparent", "")) is None:
                        span.parent_id = ""
                    request = attrs.evolve(request, trace=span.traceparent())
                answer = await self.dispatcher.dispatch(request, body, settings)
            self.log_if_late(request, answer)
            return await self.send(http_request, request, answer)
        except MarjoramtideError as error:
            body_error = body.error if body is not None else None
            if lease is not None and not isinstance(error, UnknownOutcomeError):
                lease.refund()
            if request is not None:
                self.authenticator.nested_calls.record_failure(request, error)
            return self.refuse(http_request, body_error or error, request)
        finally:
            if self.is_draining and http_request.content.is_eof():
                # The connection is closed after this response.
                await cast(CallerConnection, http_request.protocol).drain_input()

    async def read_body(
        self, http_request: web.BaseRequest, request: Request, settings: RouteSettings
    ) -> RequestBody:
        """Read the body, or the beginning of a large one, within the deadline."""
        if not http_request.can_read_body:
            return inline_body()
        remaining = request.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                return await read_body(http_request, settings.max_body_bytes)
        except TimeoutError as error:
            # Without this a body that trickles in would hold its connection and memory forever.
            raise NotRunError(
                ErrorCode.SLOW_CALLER,
                "the body did not arrive before the deadline",
                step="ingress.read_body",
            ) from error

    def check_accepting(self) -> None:
        """Raise ``NotRunError`` if this node must not accept callers' requests."""
        if self.is_stopping:
            raise NotRunError(
                ErrorCode.DRAINING, "the node is stopping", step="ingress", retry_after_ms=0
            )
        if not self.view.is_current:
            # This node is cut off from the store and all peers, so it can't know of changes
            # accepted since. By serving with old settings it would violate an accepted change.
            raise NotRunError(
                ErrorCode.STALE_SETTINGS,
                "the node can't determine which settings are in force",
                step="ingress",
                retry_after_ms=RETRY_AFTER_MS if self.view.revision else STARTING_RETRY_AFTER_MS,
            )

    def check_capacity(self, request: Request) -> None:
        """Raise ``NotRunError`` if too many requests are in progress.

        The last ``urgent_reserve`` places are for urgent requests.

        Each serving node has a bounded queue, but a request may also wait for its body or for nodes
        that don't respond. Many callers at once would fill the memory, and if the process is killed
        for that, the outcome of all requests in progress is unknown.
        """
        limit = self.max_in_progress - (0 if request.urgent else self.urgent_reserve)
        assert self.server is not None
        if self.in_progress > limit or self.server.is_out_of_memory():
            raise NotRunError(
                ErrorCode.OVERLOADED,
                "too many requests, or too much of them, are in progress at this node",
                step="ingress",
                retry_after_ms=RETRY_AFTER_MS,
            )

    def refuse(
        self, http_request: web.BaseRequest, error: MarjoramtideError, request: Request | None
    ) -> web.Response:
        self.metrics.count(f"ingress.refused.{error.code}")
        request_id = request.request_id if request is not None else ""
        log.info(
            "ingress.refused",
            request=request_id,
            revision=self.view.revision,
            retry_after_ms=error.retry_after_ms,
            **self.failure_fields(http_request, request, error),
            **error_fields(error, http_request.remote),
        )
        http_response = self.protocol.refusal(error, self.node, request_id)
        if self.is_draining or not http_request.content.at_eof():
            # The unread rest of a body would be parsed as the next request.
            http_response.force_close()
        return http_response

    def failure_fields(
        self, http_request: web.BaseRequest, request: Request | None, error: MarjoramtideError
    ) -> dict[str, Any]:
        """Return the log fields of a failed request: its route, time left and attempts."""
        if request is None:
            return {
                "host": http_request.headers.get("Host", "")[:100],
                "path": http_request.raw_path[:100],
            }
        decisions = error.decisions if isinstance(error, RequestFailedError) else ()
        left_ms = round((request.deadline - self.clock.monotonic()) * 1000)
        return request_fields(request, decisions) | {"left_ms": left_ms}

    def log_if_late(self, request: Request, response: Response) -> None:
        """Log a response that exceeds the latency target of its route, with its attempts."""
        late_s = self.clock.monotonic() - request.goal
        if late_s > 0:
            self.metrics.count("ingress.late")
            log.info(
                "ingress.late",
                request=request.request_id,
                revision=self.view.revision,
                status=response.status,
                late_ms=round(late_s * 1000),
                served_ms=None if response.served_ms is None else round(response.served_ms),
                work_ms=round(response.work_ms),
                **request_fields(request, response.decisions),
            )

    async def send(
        self, http_request: web.BaseRequest, request: Request, response: Response
    ) -> web.StreamResponse:
        """Send the response to the caller, complete or visibly truncated."""
        self.metrics.count("ingress.completed")
        http_response: web.StreamResponse
        assert self.server is not None
        self.server.account.moved(len(response.body))
        connection = cast(CallerConnection, http_request.protocol)
        connection.streams_response = response.stream is not None
        if response.stream is None:
            http_response = web.Response(status=response.status, body=response.body or None)
            self.add_headers(http_response, response)
            if request.method == "HEAD" and response.length is not None:
                http_response.headers["Content-Length"] = str(response.length)
            return http_response
        http_response = web.StreamResponse(status=response.status)
        self.add_headers(http_response, response)
        if response.length is not None:
            http_response.content_length = response.length
        else:
            http_response.enable_chunked_encoding()
        remaining = max(0.0, request.deadline - self.clock.monotonic())
        try:
            # A caller that reads slowly, or not at all, holds resources only until the deadline.
            async with asyncio.timeout(remaining):
                await http_response.prepare(http_request)
                async for data in response.stream:
                    await http_response.write(data)
                response.cancel = None
                await http_response.write_eof()
        except MarjoramtideError as error:
            self.abort_connection(http_request, error)
        except TimeoutError:
            self.abort_connection(
                http_request,
                UnknownOutcomeError(
                    ErrorCode.DEADLINE,
                    "the deadline passed before the response was sent completely",
                    step="ingress.send",
                ),
            )
        finally:
            await response.close()
        return http_response

    def abort_connection(self, http_request: web.BaseRequest, error: MarjoramtideError) -> None:
        """Abort the connection: after the head nothing else marks a response as incomplete."""
        log.warning("ingress.broken_off", **error_fields(error, http_request.remote))
        self.metrics.count("ingress.broken_off")
        if http_request.transport is not None:
            http_request.transport.abort()

    def add_headers(self, http_response: web.StreamResponse, response: Response) -> None:
        for name, value in self.protocol.response_headers(response, self.node):
            http_response.headers.add(name, value)
        if self.is_draining:
            # A connection kept open would be closed at the end of the shutdown, possibly during the
            # caller's next request, whose outcome would then be unknown.
            http_response.force_close()

    @property
    def connection_count(self) -> int:
        """Return the number of callers' connections."""
        return 0 if self.server is None else len(self.server.connections)

    @property
    def held_bytes(self) -> int:
        """Return what this process keeps for callers' connections, as of the last check."""
        return 0 if self.server is None else self.server.account.held_bytes

    async def start_draining(self) -> None:
        """Accept no new connections, and close each open one after its next response.

        Requests on open connections are still dispatched to other nodes: callers can't know yet
        that this node is stopping, and need not be refused for it.
        """
        self.is_draining = True
        if self.site is not None:
            await self.site.stop()

    def discard_input(self) -> None:
        """Read no more of what callers send, so that what is left of a stop is done in time."""
        assert self.server is not None
        for connection in self.server.bounded_connections():
            connection.discard_input()

    async def wait_drained(self) -> None:
        """Wait until no request is in progress and all responses have been written to the sockets.

        What a handler writes stays in the connection's buffer until the caller reads it. If the
        process exited earlier, the response to a slow reader would be truncated.
        """
        await self.idle.wait()
        assert self.server is not None
        while self.server.has_unsent:
            await asyncio.sleep(UNSENT_POLL_S)

    async def close(self) -> None:
        """Stop listening and close callers' connections."""
        if self.runner is not None:
            await self.runner.cleanup()


def request_fields(request: Request, decisions: Iterable[Decision]) -> dict[str, Any]:
    """Return the log fields of a request and its attempts."""
    return {
        "service": request.service,
        "path": request.target[:100],
        "workspace": request.workspace,
        "idempotent": request.idempotent,
        "tries": [
            {
                "node": each.node,
                "outcome": each.outcome,
                "detail": each.detail,
                "ms": each.elapsed_ms,
                **each.believed,
            }
            for each in decisions
        ],
    }
