"""``marjoramtide``: the top-level commands."""

import tomllib
from typing import Any

from fire.decorators import SetParseFns

from marjoramtide.cli._evacuation_commands import EvacuationCommands
from marjoramtide.cli._node_client import NodeClient, query_nodes
from marjoramtide.cli._output import format_records
from marjoramtide.cli._quarantine_commands import QuarantineCommands
from marjoramtide.cli._request_timeline import format_timeline, read_timeline
from marjoramtide.cli._service_commands import ServiceCommands
from marjoramtide.cli._session import Session
from marjoramtide.cli._settings_commands import REVISION_LINE_PATTERN, SettingsCommands, read_file
from marjoramtide.cli._workspace_commands import WorkspaceCommands
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings import load_node_settings, parse_tree

MEMBER_COLUMNS = (
    "node",
    "service",
    "region",
    "data_centre",
    "state",
    "revision",
    "operators_address",
)
ONLY_IN_NODE_FILES = {"callers", "peers", "gossip", "backend", "store", "key"}


class Commands:
    """Manage a fleet of marjoramtide nodes.

    Every command takes --node IP:PORT, the operators address of any node (or MARJORAMTIDE_NODE),
    and --json for JSON output. Exit statuses: 0 success, 1 internal error, 2 usage error,
    3 rejected (nothing changed), 4 accepted but not in force everywhere, 5 node or store not
    reachable (nothing changed), 6 unknown whether accepted.
    """

    def __init__(self, session: Session) -> None:
        self._session = session
        self.settings = SettingsCommands(session)
        self.service = ServiceCommands(session)
        self.quarantine = QuarantineCommands(session)
        self.evacuation = EvacuationCommands(session)
        self.workspaces = WorkspaceCommands(session)

    def nodes(self) -> None:
        """Print the members that the queried node knows."""
        found = self._session.node.get("/members")["members"]
        rows = [[member[column] for column in MEMBER_COLUMNS] for member in found]
        headers = [column.replace("_", " ") for column in MEMBER_COLUMNS]
        self._session.output.table(found, rows, headers)

    def status(self) -> None:
        """Print the status of the queried node."""
        found = self._session.node.get("/status")
        self._session.output.result(found, format_fields(found))

    def drain(self, name: str = "") -> None:
        """Drain a node, so that it accepts no new requests: the queried one, or the member NAME."""
        self._post_to_node(name, "/drain")

    def undrain(self, name: str = "") -> None:
        """Let a drained node accept requests again: the queried one, or the member NAME."""
        self._post_to_node(name, "/undrain")

    def evacuate(self, data_centre: str, release: bool = False) -> None:
        """Evacuate DATA_CENTRE: send no requests to its backend servers. --release ends it."""
        change_evacuation = self.evacuation.release if release else self.evacuation.begin
        change_evacuation(data_centre)

    def explain(self, service: str) -> None:
        """Print the queried node's view of SERVICE's members, and its latest decisions."""
        found = self._session.node.get("/explain", service=service)
        members = format_records(found["members"]) or f"nothing is known of {service} yet"
        decisions = format_records(found["decisions"]) or "no request was sent yet"
        self._session.output.result(found, f"{members}\n\nlast decisions:\n{decisions}")

    @SetParseFns(trace_id=str)
    def trace(self, trace_id: str, logs: str = "") -> None:
        """Print what happened to one request.

        With --logs FILE[,FILE...] (- for standard input) prints the log lines of the request in
        order, found by its request id or trace id. Otherwise prints the spans of the trace,
        collected from all members.
        """
        if logs:
            timeline = read_timeline(str(trace_id), logs.split(","))
            text = format_timeline(timeline) or "no line of the logs names this request"
            self._session.output.result({"lines": timeline}, text)
            return
        members = self._session.node.get("/members")["members"]
        addresses = [member["operators_address"] for member in members]
        responses = query_nodes(addresses, "/trace", id=trace_id)
        spans = [
            span
            for response in responses
            if isinstance(response, dict)
            for span in response["spans"]
        ]
        spans.sort(key=lambda span: span.get("start", 0))
        unreachable = [error.peer for error in responses if isinstance(error, MarjoramtideError)]
        lines = [format_fields(span, separator="  ") for span in spans]
        lines += [f"no response from {', '.join(unreachable)}"] if unreachable else []
        document = {"spans": spans, "silent": unreachable}
        self._session.output.result(document, "\n".join(lines) or "no spans kept of this trace")

    def check(self, file: str) -> None:
        """Validate a node's settings file or a settings tree offline."""
        text = read_file(file)
        if ONLY_IN_NODE_FILES & top_level_keys(text).keys():
            load_node_settings(file)
            kind = "node file"
        else:
            parse_tree(REVISION_LINE_PATTERN.sub("", text, count=1))
            kind = "settings tree"
        self._session.output.result({"file": file, "kind": kind}, f"{file}: {kind} is right")

    def _post_to_node(self, name: str, path: str) -> None:
        client = self._session.node
        if name:
            client = NodeClient(self._operators_address(name))
        found = client.post(path)
        self._session.output.result(found, f"{found['node']}: {found['state']}")

    def _operators_address(self, name: str) -> str:
        members = self._session.node.get("/members")["members"]
        found = [
            member["operators_address"]
            for member in members
            if name in (member["node"], member["node"].partition("~")[0])
        ]
        if len(found) != 1:
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"{len(found)} members are named {name!r}; see `marjoramtide nodes`",
                step="cli.member",
            )
        return str(found[0])


def top_level_keys(text: str) -> dict[str, Any]:
    """Return the top level of a TOML text; empty if it is invalid, which is reported later."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return {}


def format_fields(fields: dict[str, Any], separator: str = "\n") -> str:
    """Return ``name: value`` pairs, with dotted paths for nested values."""
    return separator.join(f"{name}: {value}" for name, value in flatten("", fields))


def flatten(prefix: str, value: Any) -> list[tuple[str, Any]]:
    """Return the leaves of nested maps with their dotted paths."""
    if not isinstance(value, dict):
        return [(prefix, value)]
    return [
        leaf
        for name, inner in value.items()
        for leaf in flatten(f"{prefix}.{name}" if prefix else name, inner)
    ]
