"""``marjoramtide workspaces``: rate limits and usage of the callers' workspaces."""

import sys
from collections.abc import Sequence
from typing import Any

import attrs

from marjoramtide.cli._node_client import query_nodes
from marjoramtide.cli._session import Session
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings import key_digest

COLUMNS = (
    "workspace",
    "keys",
    "limit_per_s",
    "burst",
    "asked_per_s",
    "admitted",
    "refused",
    "short",
)
NODE_COLUMNS = ("node", "asked_per_s", "admitted", "refused", "short")
# Share of the limit above which a workspace is marked as near its limit.
NEAR_LIMIT_SHARE = 0.8


@attrs.define(slots=True)
class ShownWorkspace:
    """A workspace with its usage, aggregated over all nodes.

    ``keys`` are fingerprints; ``asked_per_s`` is the present request rate of its callers,
    ``admitted`` and ``refused`` count requests since the nodes started. ``short`` counts the nodes
    at which its requests wait behind those of others, since it has used up its fair share.
    """

    name: str
    keys: list[str]
    limit_per_s: float
    burst: float
    asked_per_s: float = 0.0
    admitted: int = 0
    refused: int = 0
    short: int = 0
    nodes: dict[str, dict[str, Any]] = attrs.Factory(dict)

    @property
    def is_near_limit(self) -> bool:
        return 0 < self.limit_per_s * NEAR_LIMIT_SHARE <= self.asked_per_s

    def add(self, node: str, usage: dict[str, Any]) -> None:
        """Add the usage at one node."""
        self.nodes[node] = usage
        self.asked_per_s = round(self.asked_per_s + usage["asked_per_s"], 1)
        self.admitted += usage["admitted"]
        self.refused += usage["refused"]
        self.short += usage["short"]


class WorkspaceCommands:
    """Show workspaces, which are identified by API keys; of a key only the fingerprint is shown."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Print all workspaces, ordered by the used share of their limits."""
        found, unreachable = fetch_workspaces(self._session)
        found.sort(
            key=lambda workspace: -workspace.asked_per_s / (workspace.limit_per_s or float("inf"))
        )
        rows = [
            (
                workspace.name,
                len(workspace.keys),
                workspace.limit_per_s or "-",
                workspace.burst or "-",
                f"{workspace.asked_per_s}{' near' if workspace.is_near_limit else ''}",
                workspace.admitted,
                workspace.refused,
                workspace.short,
            )
            for workspace in found
        ]
        document = {
            "workspaces": [attrs.asdict(workspace) for workspace in found],
            "silent": unreachable,
        }
        self._session.output.table(document, rows, COLUMNS)
        self._print_unreachable(unreachable)

    def show(self, name: str) -> None:
        """Print one workspace: the fingerprints of its keys, and its usage at each node."""
        found, unreachable = fetch_workspaces(self._session)
        workspace = next((each for each in found if each.name == str(name)), None)
        if workspace is None:
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"no workspace {name!r}; see `marjoramtide workspaces list`",
                step="cli.workspaces",
            )
        rows = [
            (node, *(usage[column] for column in NODE_COLUMNS[1:]))
            for node, usage in sorted(workspace.nodes.items())
        ]
        self._session.output.progress(f"keys: {', '.join(workspace.keys) or 'none'}")
        self._session.output.table(attrs.asdict(workspace), rows, NODE_COLUMNS)
        self._print_unreachable(unreachable)

    def digest(self) -> None:
        """Read a key from standard input and print its digest for `key_digests`."""
        key = sys.stdin.readline().rstrip("\n")
        if not key:
            raise MarjoramtideError(
                ErrorCode.BAD_REQUEST, "standard input holds no key", step="cli.arguments"
            )
        self._session.output.result({"digest": key_digest(key)}, key_digest(key))

    def _print_unreachable(self, unreachable: Sequence[str]) -> None:
        if unreachable:
            self._session.output.progress(f"no response from {', '.join(unreachable)}")


def fetch_workspaces(session: Session) -> tuple[list[ShownWorkspace], list[str]]:
    """Return the members' workspaces, and the addresses that did not respond."""
    members = session.node.get("/members")["members"]
    addresses = [member["operators_address"] for member in members]
    responses = query_nodes(addresses, "/workspaces")
    found: dict[str, ShownWorkspace] = {}
    for address, response in zip(addresses, responses, strict=True):
        if isinstance(response, dict):
            for usage in response["workspaces"]:
                name = usage["name"]
                workspace = ShownWorkspace(
                    name, usage["keys"], usage["limit_per_s"], usage["burst"]
                )
                found.setdefault(name, workspace).add(address, usage)
    unreachable = [error.peer for error in responses if isinstance(error, MarjoramtideError)]
    return list(found.values()), unreachable
