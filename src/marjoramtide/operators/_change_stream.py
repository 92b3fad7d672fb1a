"""A change of the settings over HTTP, with its progress as JSON lines."""

import asyncio
import contextlib
import json
from typing import Any

import attrs
import cattrs
from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.operators._answers import describe, internal
from marjoramtide.settings import parse_edits
from marjoramtide.settings.sync import ChangeRequest, Progress, SettingsService

STEP = "operators.change"
KEEP_ALIVE_S = 5.0


def read_change(raw: Any) -> ChangeRequest:
    """Read the body of a change; raises ``bad-request`` naming what is wrong."""
    if not isinstance(raw, dict):
        raise MarjoramtideError(ErrorCode.BAD_REQUEST, "the body must be a JSON object", step=STEP)
    edits = parse_edits(raw.pop("edits", []))
    try:
        converter = cattrs.Converter(forbid_extra_keys=True)
        request = converter.structure(raw, ChangeRequest)
    except cattrs.BaseValidationError as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise MarjoramtideError(ErrorCode.BAD_REQUEST, reasons, step=STEP) from error
    return attrs.evolve(request, edits=tuple(edits))


async def stream_change(service: SettingsService, http: web.Request) -> web.StreamResponse:
    """Make a change and answer line by line.

    Lines are ``{"progress": ...}``, and at the end one ``{"outcome": ...}`` or ``{"error": ...}``.
    A stream that ends without either says nothing about the change: its sender asks again with the
    same change id.
    """
    try:
        request = read_change(json.loads(await http.text()))
    except ValueError as error:
        raise MarjoramtideError(ErrorCode.BAD_REQUEST, f"not JSON: {error}", step=STEP) from error
    response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await response.prepare(http)
    lines: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
    task = asyncio.create_task(_change(service, request, lines))
    try:
        while line := await _next_line(lines):
            await response.write(json.dumps(line).encode() + b"\n")
        await response.write_eof()
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    return response


async def _next_line(lines: "asyncio.Queue[dict[str, Any] | None]") -> dict[str, Any] | None:
    try:
        return await asyncio.wait_for(lines.get(), KEEP_ALIVE_S)
    except TimeoutError:
        return {"progress": {"step": "wait", "message": "", "nodes": []}}


async def _change(
    service: SettingsService,
    request: ChangeRequest,
    lines: "asyncio.Queue[dict[str, Any] | None]",
) -> None:
    def report(progress: Progress) -> None:
        lines.put_nowait({"progress": attrs.asdict(progress)})

    try:
        outcome = await service.change(request, report)
        lines.put_nowait({"outcome": attrs.asdict(outcome) | {"in_force": outcome.in_force}})
    except MarjoramtideError as error:
        lines.put_nowait({"error": describe(error)})
    except Exception as error:
        lines.put_nowait({"error": describe(internal(error, STEP))})
    lines.put_nowait(None)
