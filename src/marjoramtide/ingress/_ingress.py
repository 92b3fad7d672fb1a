"""The port on which callers reach the service."""

import asyncio
import logging
from collections.abc import Iterable
from typing import Any

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
from marjoramtide.ingress._caller_connection import log_fields
from marjoramtide.ingress._caller_protocol import CallerProtocol
from marjoramtide.ingress._caller_server import CallerServer
from marjoramtide.ingress._decision import Decision
from marjoramtide.ingress._default_caller_protocol import DefaultCallerProtocol
from marjoramtide.ingress._dispatcher import Dispatcher
from marjoramtide.ingress._read_body import read_body
from marjoramtide.ingress._request_quota import NoQuota, QuotaLease, RequestQuota
from marjoramtide.ingress._start_up import StartupGrace
from marjoramtide.settings import RouteSettings, SettingsView
from marjoramtide.telemetry import Metrics, Tracer, read_trace

log = structlog.get_logger()

MAX_HEADERS = 100
# After a refusal the rest of a body is read and dropped for so long: a connection that is closed
# with bytes unread is reset, and the caller might lose the answer.
LINGER_S = 2.0
COME_BACK_MS = 1000
# Where a node holds no settings yet. One that starts reads them within 70 to 150 ms; one that was
# cut off catches up within seconds, and its callers would use up their retries before.
STARTING_COME_BACK_MS = 200
# Far above what the backend servers behind one node take at once; each holds up to 64 kB of body.
MAX_IN_PROGRESS = 2048
URGENT_RESERVE = 256
UNSENT_CHECK_S = 0.02


class Ingress:
    """Takes callers' HTTP and gives each request its one final answer."""

    def __init__(
        self,
        node: str,
        view: SettingsView,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
        protocol: CallerProtocol | None = None,
        start_up: StartupGrace | None = None,
        authenticator: Authenticator | None = None,
        quotas: RequestQuota | None = None,
    ) -> None:
        """Without a ``start_up`` no request waits for settings.

        Without an ``authenticator`` the backend server beside this node makes no calls without a
        key, without ``quotas`` no workspace is limited.
        """
        self.node = node
        self.start_up = start_up or StartupGrace(clock)
        self.protocol = protocol or DefaultCallerProtocol()
        self.authenticator = authenticator or Authenticator(view, self.protocol.scheme)
        self.quotas = quotas or NoQuota()
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
        self.site: web.TCPSite | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on the callers' address."""
        self.server = CallerServer(
            self.node,
            self.protocol,
            self.metrics,
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
        self.runner = web.ServerRunner(self.server, shutdown_timeout=0.5)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, host, port, backlog=1024)
        await self.site.start()

    def configure(self, revision: int) -> None:
        """Put the bounds on what callers may send into force, at the start and at each change."""
        assert self.server is not None
        self.server.configure(self.view.node_values)

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a caller."""
        self.in_progress += 1
        self.idle.clear()
        started = self.clock.monotonic()
        try:
            response = await self.answer(http, started)
        except asyncio.CancelledError:
            if not http.content.is_eof():
                self.metrics.count("ingress.caller_left")
                log.info(
                    "ingress.caller_left",
                    code=ErrorCode.TRUNCATED,
                    step="ingress.read_body",
                    peer="",
                    caller=http.remote,
                )
            raise
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self.idle.set()
        self.metrics.timing("ingress.request", (self.clock.monotonic() - started) * 1000)
        return response

    async def answer(self, http: web.BaseRequest, now: float) -> web.StreamResponse:
        body: RequestBody | None = None
        request: Request | None = None
        lease: QuotaLease | None = None
        try:
            await self.start_up.wait_until(lambda: self.view.is_current)
            self.check_open()
            request, settings = self.protocol.read(http, self.view, self.tracer, now)
            request = self.authenticator.admit(http, request, settings)
            self.check_room(request)
            lease = await self.quotas.admit(request)
            body = await self.read_body(http, request, settings)
            with self.tracer.span("ingress", request.trace) as span:
                if span is not None:
                    span.attributes |= {"method": request.method, "service": request.service}
                    if read_trace(http.headers.get("Traceparent", "")) is None:
                        span.parent_id = ""
                    request = attrs.evolve(request, trace=span.header())
                answer = await self.dispatcher.dispatch(request, body, settings)
            self.note_late(request, answer)
            return await self.send(http, request, answer)
        except MarjoramtideError as error:
            broken = body.error if body is not None else None
            if lease is not None and not isinstance(error, UnknownOutcomeError):
                lease.refund()
            if request is not None:
                self.authenticator.calls.record_failure(request, error)
            return self.refuse(http, broken or error, request)

    async def read_body(
        self, http: web.BaseRequest, request: Request, settings: RouteSettings
    ) -> RequestBody:
        """Read the body, or its beginning, within the deadline."""
        if not http.can_read_body:
            return inline_body()
        remaining = request.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                return await read_body(http, settings.max_body_bytes)
        except TimeoutError as error:
            # Without this a body that trickles holds its connection and its memory for ever.
            raise NotRunError(
                ErrorCode.SLOW_CALLER,
                "the body did not arrive before the deadline",
                step="ingress.read_body",
            ) from error

    def check_open(self) -> None:
        """Refuse where this node must not take callers' requests."""
        if self.is_stopping:
            raise NotRunError(
                ErrorCode.DRAINING, "the node is stopping", step="ingress", retry_after_ms=0
            )
        if not self.view.is_current:
            # Cut off from the store and every peer, this node can't know what was accepted since;
            # serving by old settings would make an accepted change untrue here.
            raise NotRunError(
                ErrorCode.STALE_SETTINGS,
                "the node can't know which settings are in force",
                step="ingress",
                retry_after_ms=COME_BACK_MS if self.view.revision else STARTING_COME_BACK_MS,
            )

    def check_room(self, request: Request) -> None:
        """Refuse what is more than this node can hold; the last places are for urgent requests.

        Queues are bounded at each serving node, but a request may also wait for its body, or for
        nodes that don't answer: many callers at once would fill the memory, and a process that is
        killed for it leaves the outcome of everything in progress unknown.
        """
        room = self.max_in_progress - (0 if request.urgent else self.urgent_reserve)
        if self.in_progress > room:
            raise NotRunError(
                ErrorCode.OVERLOADED,
                "too many requests are in progress at this node",
                step="ingress",
                retry_after_ms=COME_BACK_MS,
            )

    def refuse(
        self, http: web.BaseRequest, error: MarjoramtideError, request: Request | None
    ) -> web.Response:
        self.metrics.count(f"ingress.refused.{error.code}")
        request_id = request.request_id if request is not None else ""
        log.info(
            "ingress.refused",
            request=request_id,
            revision=self.view.revision,
            retry_after_ms=error.retry_after_ms,
            **self.told(http, request, error),
            **log_fields(error, http.remote),
        )
        response = self.protocol.refusal(error, self.node, request_id)
        if self.is_draining or not http.content.at_eof():
            # The rest of a body that was not read would be taken for the next request.
            response.force_close()
        return response

    def told(
        self, http: web.BaseRequest, request: Request | None, error: MarjoramtideError
    ) -> dict[str, Any]:
        """Return what the log tells of a request that failed: its route, its time and its tries."""
        if request is None:
            return {"host": http.headers.get("Host", "")[:100], "path": http.raw_path[:100]}
        tries = error.tries if isinstance(error, RequestFailedError) else ()
        left_ms = round((request.deadline - self.clock.monotonic()) * 1000)
        return request_fields(request, tries) | {"left_ms": left_ms}

    def note_late(self, request: Request, answer: Response) -> None:
        """Tell of an answer that comes later than the operator wants it, and of its tries."""
        late_s = self.clock.monotonic() - request.goal
        if late_s > 0:
            self.metrics.count("ingress.late")
            log.info(
                "ingress.late",
                request=request.request_id,
                revision=self.view.revision,
                status=answer.status,
                late_ms=round(late_s * 1000),
                served_ms=None if answer.served_ms is None else round(answer.served_ms),
                work_ms=round(answer.work_ms),
                **request_fields(request, answer.tries),
            )

    async def send(
        self, http: web.BaseRequest, request: Request, answer: Response
    ) -> web.StreamResponse:
        """Give the answer to the caller, whole or visibly broken off."""
        self.metrics.count("ingress.completed")
        response: web.StreamResponse
        if answer.stream is None:
            response = web.Response(status=answer.status, body=answer.body or None)
            self.add_headers(response, answer)
            if request.method == "HEAD" and answer.length is not None:
                response.headers["Content-Length"] = str(answer.length)
            return response
        response = web.StreamResponse(status=answer.status)
        self.add_headers(response, answer)
        if answer.length is not None:
            response.content_length = answer.length
        else:
            response.enable_chunked_encoding()
        remaining = max(0.0, request.deadline - self.clock.monotonic())
        try:
            # A caller that reads slowly, or not at all, holds what is behind it until the deadline.
            async with asyncio.timeout(remaining):
                await response.prepare(http)
                async for data in answer.stream:
                    await response.write(data)
                answer.cancel = None
                await response.write_eof()
        except MarjoramtideError as error:
            self.break_off(http, error)
        except TimeoutError:
            self.break_off(
                http,
                UnknownOutcomeError(
                    ErrorCode.DEADLINE, "the deadline passed amid the answer", step="ingress.send"
                ),
            )
        finally:
            await answer.close()
        return response

    def break_off(self, http: web.BaseRequest, error: MarjoramtideError) -> None:
        """Break the connection: the head is out, nothing else can tell that this is not all."""
        log.warning("ingress.broken_off", **log_fields(error, http.remote))
        self.metrics.count("ingress.broken_off")
        if http.transport is not None:
            http.transport.abort()

    def add_headers(self, response: web.StreamResponse, answer: Response) -> None:
        for name, value in self.protocol.response_headers(answer, self.node):
            response.headers.add(name, value)
        if self.is_draining:
            # Kept open, it would be closed at the end of the stop, perhaps amid the caller's next
            # booking, which would then be unknown to its caller.
            response.force_close()

    async def start_draining(self) -> None:
        """Take no new connections, and end each kept one with its next answer.

        What comes on kept connections meanwhile is passed on to other nodes: callers can't know yet
        that this one stops, and need not be refused for it.
        """
        self.is_draining = True
        if self.site is not None:
            await self.site.stop()

    async def wait_drained(self) -> None:
        """Wait until no request is in progress and callers have been sent every byte.

        What a handler has given stands in the connection's buffer until the caller takes it. A
        process that exits before cuts the answer of a slow reader off amid its body.
        """
        await self.idle.wait()
        assert self.server is not None
        while self.server.has_unsent:
            await asyncio.sleep(UNSENT_CHECK_S)

    async def close(self) -> None:
        """Stop listening and close callers' connections."""
        if self.runner is not None:
            await self.runner.cleanup()


def request_fields(request: Request, tries: Iterable[Decision]) -> dict[str, Any]:
    """Return what the log tells of a request and of its tries."""
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
            for each in tries
        ],
    }
