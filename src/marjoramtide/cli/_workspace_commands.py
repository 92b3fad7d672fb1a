"""``marjoramtide workspaces``: who may call, how much they ask for, and who is refused."""

import sys
from collections.abc import Sequence
from typing import Any

import attrs

from marjoramtide.cli._node_client import ask_all
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
# Of a limit, from which on a workspace is shown as near it.
NEAR = 0.8


@attrs.define(slots=True)
class ShownWorkspace:
    """One workspace, with what all nodes tell of it.

    ``keys`` are fingerprints; ``asked_per_s`` is what its callers ask for now, ``admitted`` and
    ``refused`` what became of it since the nodes started. ``short`` counts the nodes beside whose
    backend servers its requests wait behind those of others, since it has had its share.
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
        return 0 < self.limit_per_s * NEAR <= self.asked_per_s

    def add(self, node: str, told: dict[str, Any]) -> None:
        """Take in what one node tells of it."""
        self.nodes[node] = told
        self.asked_per_s = round(self.asked_per_s + told["asked_per_s"], 1)
        self.admitted += told["admitted"]
        self.refused += told["refused"]
        self.short += told["short"]


class WorkspaceCommands:
    """Workspaces, known by the keys of their callers; keys are shown by fingerprint only."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Print all workspaces, those that ask for most of their limits first."""
        found, silent = ask_workspaces(self._session)
        found.sort(key=lambda one: -one.asked_per_s / (one.limit_per_s or float("inf")))
        rows = [
            (
                one.name,
                len(one.keys),
                one.limit_per_s or "-",
                one.burst or "-",
                f"{one.asked_per_s}{' near' if one.is_near_limit else ''}",
                one.admitted,
                one.refused,
                one.short,
            )
            for one in found
        ]
        told = {"workspaces": [attrs.asdict(one) for one in found], "silent": silent}
        self._session.output.table(told, rows, COLUMNS)
        self._tell_silent(silent)

    def show(self, name: str) -> None:
        """Print one workspace: its keys' fingerprints, its limit, and what each node tells."""
        found, silent = ask_workspaces(self._session)
        one = next((each for each in found if each.name == str(name)), None)
        if one is None:
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"there is no workspace {name!r}; see `marjoramtide workspaces list`",
                step="cli.workspaces",
            )
        rows = [
            (node, *(told[column] for column in NODE_COLUMNS[1:]))
            for node, told in sorted(one.nodes.items())
        ]
        self._session.output.progress(f"keys: {', '.join(one.keys) or 'none'}")
        self._session.output.table(attrs.asdict(one), rows, NODE_COLUMNS)
        self._tell_silent(silent)

    def digest(self) -> None:
        """Read a key from standard input and print what `key_digests` holds of it."""
        key = sys.stdin.readline().rstrip("\n")
        if not key:
            raise MarjoramtideError(
                ErrorCode.BAD_REQUEST, "standard input holds no key", step="cli.arguments"
            )
        self._session.output.result({"digest": key_digest(key)}, key_digest(key))

    def _tell_silent(self, silent: Sequence[str]) -> None:
        if silent:
            self._session.output.progress(f"no answer from {', '.join(silent)}")


def ask_workspaces(session: Session) -> tuple[list[ShownWorkspace], list[str]]:
    """Return the workspaces as the members tell them, and the addresses of silent members."""
    members = session.node.get("/members")["members"]
    addresses = [member["operators_address"] for member in members]
    answers = ask_all(addresses, "/workspaces")
    found: dict[str, ShownWorkspace] = {}
    for address, answer in zip(addresses, answers, strict=True):
        if isinstance(answer, dict):
            for told in answer["workspaces"]:
                name = told["name"]
                shown = ShownWorkspace(name, told["keys"], told["limit_per_s"], told["burst"])
                found.setdefault(name, shown).add(address, told)
    silent = [error.peer for error in answers if isinstance(error, MarjoramtideError)]
    return list(found.values()), silent
