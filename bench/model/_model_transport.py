"""The simulated connection from a node to its own backend server."""

import asyncio
from collections.abc import Callable

from bench.model._model_server import ModelServer, ServerCrashedError, ServerFullError
from bench.model._model_work import ModelWork
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import (
    NotRunError,
    Request,
    RequestBody,
    Response,
    ServerStatement,
    UnknownOutcomeError,
)
from marjoramtide.serving import (
    BackendProtocol,
    BackendResponse,
    BackendState,
    BackendTransport,
    EndpointResponse,
    HealthCheckResult,
    ResponseMetadata,
    ResponseVerdict,
    ServerLoad,
)

# One-way latency between a node and the server beside it.
LOCAL_LATENCY_S = 0.00005
# Duration of a health check.
HEALTH_CHECK_S = 0.001
STEP = "model.send"


class ModelTransport(BackendTransport):
    """Sends requests to a simulated server.

    ``note_load`` is called with the load that comes with each response, and ``note_statement``
    with the server's statement and the time at which the request was sent.
    """

    def __init__(
        self,
        server: ModelServer,
        work: ModelWork,
        note_load: Callable[[ServerLoad], None],
        note_statement: Callable[[ServerStatement, float], None],
    ) -> None:
        self.server = server
        self.work = work
        self.note_load = note_load
        self.note_statement = note_statement

    async def send(
        self,
        request: Request,
        body: RequestBody,
        remaining_ms: float,
        on_dispatch: Callable[[], None],
    ) -> Response:
        on_dispatch()
        sent_at = asyncio.get_running_loop().time()
        await asyncio.sleep(LOCAL_LATENCY_S)
        try:
            succeeded = await self.work.run(self.server, request)
        except ServerFullError as error:
            self.note_load(self.server.load())
            raise NotRunError(
                ErrorCode.OVERLOADED, "server queue is full", step=STEP, reached_backend=True
            ) from error
        except ServerCrashedError as error:
            raise UnknownOutcomeError(
                ErrorCode.BACKEND_FAILED, "connection lost", step=STEP
            ) from error
        self.note_load(self.server.load())
        self.note_statement(self.server.statement(), sent_at)
        return Response(200 if succeeded else 500, ())

    async def read(self, path: str, timeout_s: float) -> EndpointResponse:
        await asyncio.sleep(HEALTH_CHECK_S)
        if not self.server.is_up:
            raise NotRunError(ErrorCode.CONNECT_FAILED, "connection refused", step=STEP)
        load = self.server.load()
        text = f"{load.running},{load.waiting},{load.slots},{load.slowdown}"
        return EndpointResponse(200, (), text.encode())

    def server_replaced(self) -> None:
        return None

    async def close(self) -> None:
        return None


class ModelProtocol(BackendProtocol):
    """Decodes the health response of a simulated server."""

    internal_response_headers = frozenset()
    names_requests = False

    def request_headers(self, request: Request, remaining_ms: float, instance: str):  # type: ignore[no-untyped-def]
        return ()

    def named_request(self, response: BackendResponse) -> str:
        return ""

    def read_response(self, response: BackendResponse) -> ResponseMetadata:
        return ResponseMetadata(ResponseVerdict.ANSWERED)

    def read_health(self, response: EndpointResponse) -> HealthCheckResult:
        running, waiting, slots, slowdown = response.body.split(b",")
        load = ServerLoad(int(running), int(waiting), int(slots), float(slowdown))
        return HealthCheckResult(BackendState.READY, load=load)
