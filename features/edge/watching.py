"""Requests to the nodes of a mesh, and reads of their logs."""

import asyncio
import json
import time
from typing import Any

from bench.load import play

# A node logs ten lines a second of one kind. At this interval each refusal gets its own line.
LOG_LINE_INTERVAL_S = 0.12
TRACEPARENT = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
REFUSAL_EVENTS = ("ingress.refused", "peers.refused", "peers.bad_frame", "ingress.caller_left")


def find_node(context: Any, name: str) -> Any:
    """Return a node of the mesh by its name."""
    return next(each for each in context.mesh.nodes if each.name == name)


def log_lines(node: Any, *events: str) -> list[dict[str, Any]]:
    """Return the log lines of a node, or only those of the given events if there are any."""
    text = node.process.text().splitlines()
    rows = [json.loads(line) for line in text if line.startswith("{")]
    return [row for row in rows if not events or row["event"] in events]


def get_request(service: str, *headers: str, target: str = "/") -> bytes:
    """Return the bytes of a GET request to a service."""
    fields = "".join(f"{header}\r\n" for header in headers)
    return f"GET {target} HTTP/1.1\r\nHost: {service}\r\n{fields}\r\n".encode()


async def wait_until(condition: Any, timeout: float = 3.0) -> bool:
    """Poll until the condition holds; return whether it did before the timeout."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(0.02)
    return True


async def wait_for_log_lines(node: Any, seen: int, events: tuple[str, ...]) -> list[dict[str, Any]]:
    """Wait for a line of these events after the first ``seen``; return all lines after those."""
    await wait_until(lambda: len(log_lines(node, *events)) > seen)
    return log_lines(node, *events)[seen:]


async def during_traffic(context: Any, name: str, work: Any) -> list[str]:
    """Await ``work`` while the planned traffic is sent; return the result of ``work``."""
    entries = {call.service: [find_node(context, name).callers] for call in context.calls}
    traffic = asyncio.create_task(play(context.calls, entries))
    found: list[str] = await work
    context.results = await traffic
    return found
