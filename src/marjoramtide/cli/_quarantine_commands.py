"""``marjoramtide quarantine``: requests that are held because they crash backend servers."""

from typing import Any

import attrs
from fire.decorators import SetParseFns

from marjoramtide.cli._node_client import NodeClient, query_nodes
from marjoramtide.cli._session import Session
from marjoramtide.errors import ErrorCode, MarjoramtideError

COLUMNS = ("fingerprint", "ends", "wait_s", "refused", "nodes", "what")


@attrs.define(slots=True)
class HeldRequest:
    """A request in quarantine, aggregated over all nodes.

    ``ends`` is the number of server crashes attributed to it, ``wait_s`` the remaining time in
    quarantine in seconds, and ``refused`` how often it was rejected, at all nodes together.
    """

    fingerprint: str
    what: str = ""
    ends: int = 0
    wait_s: float = 0.0
    refused: int = 0
    nodes: list[str] = attrs.Factory(list)

    def add(self, node: str, report: dict[str, Any]) -> None:
        """Add the report of one node."""
        self.nodes.append(node)
        self.what = self.what or report["what"]
        self.ends = max(self.ends, report["ends"])
        self.wait_s = max(self.wait_s, report["wait_s"])
        self.refused += report["refused"]


class QuarantineCommands:
    """Manage the quarantine: requests that are held because they crashed backend servers."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Print the requests in quarantine, aggregated over all members."""
        held, unreachable = fetch_held_requests(self._session)
        rows = [
            (
                request.fingerprint,
                request.ends,
                request.wait_s,
                request.refused,
                len(request.nodes),
                request.what,
            )
            for request in held
        ]
        document = {"held": [attrs.asdict(request) for request in held], "silent": unreachable}
        self._session.output.table(document, rows, COLUMNS)
        if unreachable:
            self._session.output.progress(f"no response from {', '.join(unreachable)}")

    @SetParseFns(fingerprint=str)
    def release(self, fingerprint: str) -> None:
        """Release a request from quarantine at all nodes, effective at once."""
        held, _ = fetch_held_requests(self._session)
        found = next((request for request in held if request.fingerprint == str(fingerprint)), None)
        if found is None:
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"{fingerprint} is not held back; see `marjoramtide quarantine list`",
                step="cli.quarantine",
            )
        node = found.nodes[0]
        NodeClient(node).post("/quarantine/release", fingerprint=found.fingerprint)
        document = {"released": found.fingerprint, "node": node}
        self._session.output.result(document, f"{found.fingerprint} is released: {found.what}")


def fetch_held_requests(session: Session) -> tuple[list[HeldRequest], list[str]]:
    """Return the members' requests in quarantine, and the addresses that did not respond."""
    members = session.node.get("/members")["members"]
    addresses = [member["operators_address"] for member in members]
    responses = query_nodes(addresses, "/quarantine")
    held: dict[str, HeldRequest] = {}
    for address, response in zip(addresses, responses, strict=True):
        if isinstance(response, dict):
            for report in response["held"]:
                fingerprint = report["fingerprint"]
                held.setdefault(fingerprint, HeldRequest(fingerprint)).add(address, report)
    unreachable = [error.peer for error in responses if isinstance(error, MarjoramtideError)]
    return sorted(held.values(), key=lambda request: -request.wait_s), unreachable
