"""Changing the settings over HTTP, with the progress streamed as JSON lines."""

import asyncio
import contextlib
import json
from typing import Any

import attrs
import cattrs
from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.operators._answers import describe_error, log_internal_error
from marjoramtide.settings import parse_edits
from marjoramtide.settings.sync import ChangeRequest, Progress, SettingsService

CHANGE_STEP = "operators.change"
KEEP_ALIVE_S = 5.0


def parse_change(raw: Any) -> ChangeRequest:
    """Parse the body of a change request; raises ``bad-request`` with the validation errors."""
    if not isinstance(raw, dict):
        raise MarjoramtideError(
            ErrorCode.BAD_REQUEST, "the body must be a JSON object", step=CHANGE_STEP
        )
    edits = parse_edits(raw.pop("edits", []))
    try:
        converter = cattrs.Converter(forbid_extra_keys=True)
        request = converter.structure(raw, ChangeRequest)
    except cattrs.BaseValidationError as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise MarjoramtideError(ErrorCode.BAD_REQUEST, reasons, step=CHANGE_STEP) from error
    return attrs.evolve(request, edits=tuple(edits))


async def stream_change(service: SettingsService, http_request: web.Request) -> web.StreamResponse:
    """Apply a change and stream its progress.

    Lines are ``{"progress": ...}``, followed by one ``{"outcome": ...}`` or ``{"error": ...}``.
    If the stream ends without either, the outcome is unknown: the client repeats the request with
    the same change id.
    """
    try:
        request = parse_change(json.loads(await http_request.text()))
    except ValueError as error:
        raise MarjoramtideError(
            ErrorCode.BAD_REQUEST, f"not JSON: {error}", step=CHANGE_STEP
        ) from error
    response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await response.prepare(http_request)
    messages: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
    task = asyncio.create_task(_change(service, request, messages))
    try:
        while message := await _next_message(messages):
            await response.write(json.dumps(message).encode() + b"\n")
        await response.write_eof()
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    return response


async def _next_message(messages: "asyncio.Queue[dict[str, Any] | None]") -> dict[str, Any] | None:
    try:
        return await asyncio.wait_for(messages.get(), KEEP_ALIVE_S)
    except TimeoutError:
        return {"progress": {"step": "wait", "message": "", "nodes": []}}


async def _change(
    service: SettingsService,
    request: ChangeRequest,
    messages: "asyncio.Queue[dict[str, Any] | None]",
) -> None:
    def report(progress: Progress) -> None:
        messages.put_nowait({"progress": attrs.asdict(progress)})

    try:
        outcome = await service.change(request, report)
        messages.put_nowait({"outcome": attrs.asdict(outcome) | {"in_force": outcome.in_force}})
    except MarjoramtideError as error:
        messages.put_nowait({"error": describe_error(error)})
    except Exception as error:
        messages.put_nowait({"error": describe_error(log_internal_error(error, CHANGE_STEP))})
    messages.put_nowait(None)
