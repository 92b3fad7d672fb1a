"""The context of a command: the node to query and the output."""

import getpass
import os
import uuid
from typing import Any

import attrs

from marjoramtide.cli._exit_code import ExitCode
from marjoramtide.cli._node_client import NODE_VARIABLE, NodeClient
from marjoramtide.cli._output import Output
from marjoramtide.errors import ErrorCode, MarjoramtideError

MAX_NAMED_NODES = 5


@attrs.frozen(slots=True)
class Session:
    """The node to query and the output."""

    address: str
    output: Output

    @property
    def node(self) -> NodeClient:
        """Return the client of the node to query; raises ``bad-request`` if none is given."""
        if not self.address:
            raise MarjoramtideError(
                ErrorCode.BAD_REQUEST,
                f"no node to query: give --node IP:PORT (an operators address) or set "
                f"{NODE_VARIABLE}",
                step="cli.node",
            )
        return NodeClient(self.address)

    def change(self, body: dict[str, Any], change_id: str = "") -> None:
        """Make a change of the settings and print its progress; exits with its result."""
        change_id = str(change_id) or f"c{uuid.uuid4().hex}"
        body = {"change": change_id, "author": current_user()} | body
        self.output.progress(f"change {change_id}")
        try:
            outcome = self.node.change(body, self._show_progress)
        except MarjoramtideError as error:
            if error.code is not ErrorCode.STORE_AMBIGUOUS:
                raise
            self.output.error(error, change=change_id)
            raise SystemExit(ExitCode.UNKNOWN) from error
        self.output.result(outcome, describe_outcome(outcome))
        if not outcome["in_force"]:
            names = ", ".join(outcome["laggards"])
            raise MarjoramtideError(
                ErrorCode.NOT_IN_FORCE,
                f"revision {outcome['revision']} is accepted, but not in force on: {names}",
                step="settings.wait",
                peer=names,
            )

    def _show_progress(self, progress: dict[str, Any]) -> None:
        nodes = progress.get("nodes") or []
        others = f" and {len(nodes) - MAX_NAMED_NODES} more" if len(nodes) > MAX_NAMED_NODES else ""
        waiting = f"; waiting for {', '.join(nodes[:MAX_NAMED_NODES])}{others}" if nodes else ""
        message = progress.get("message", "")
        self.output.progress(message + waiting if message else "")


def describe_outcome(outcome: dict[str, Any]) -> str:
    """Return the outcome of a change, in one line."""
    revision = outcome["revision"]
    if outcome["unchanged"]:
        return f"unchanged: revision {revision} has these settings already"
    notes = [
        note
        for note, holds in (
            ("on top of other operators' changes", outcome["rebased"]),
            ("accepted before", outcome["repeated"]),
        )
        if holds
    ]
    where = "in force everywhere" if outcome["in_force"] else "not in force everywhere yet"
    return f"revision {revision}: " + ", ".join([where, *notes])


def current_user() -> str:
    """Return the operator's user name, for the history."""
    try:
        return os.environ.get("MARJORAMTIDE_AUTHOR") or getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
