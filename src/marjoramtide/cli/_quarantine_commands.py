"""``marjoramtide quarantine``: requests that are held back because backend servers end by them."""

from typing import Any

import attrs
from fire.decorators import SetParseFns

from marjoramtide.cli._node_client import NodeClient, ask_all
from marjoramtide.cli._session import Session
from marjoramtide.errors import ErrorCode, MarjoramtideError

COLUMNS = ("fingerprint", "ends", "wait_s", "refused", "nodes", "what")


@attrs.define(slots=True)
class HeldRequest:
    """One request that is held back, with what all nodes tell of it.

    ``ends`` of servers are put down to it, ``wait_s`` is for how many seconds more it waits, and
    ``refused`` how often it was refused, at all nodes together.
    """

    fingerprint: str
    what: str = ""
    ends: int = 0
    wait_s: float = 0.0
    refused: int = 0
    nodes: list[str] = attrs.Factory(list)

    def add(self, node: str, told: dict[str, Any]) -> None:
        """Take in what one node tells of it."""
        self.nodes.append(node)
        self.what = self.what or told["what"]
        self.ends = max(self.ends, told["ends"])
        self.wait_s = max(self.wait_s, told["wait_s"])
        self.refused += told["refused"]


class QuarantineCommands:
    """Requests that are held back because backend servers ended while they ran them."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Print what is held back, as all members tell it."""
        held, silent = ask_held(self._session)
        rows = [
            (one.fingerprint, one.ends, one.wait_s, one.refused, len(one.nodes), one.what)
            for one in held
        ]
        told = {"held": [attrs.asdict(one) for one in held], "silent": silent}
        self._session.output.table(told, rows, COLUMNS)
        if silent:
            self._session.output.progress(f"no answer from {', '.join(silent)}")

    @SetParseFns(fingerprint=str)
    def release(self, fingerprint: str) -> None:
        """Let a request run again at once, at all nodes."""
        held, _ = ask_held(self._session)
        found = next((one for one in held if one.fingerprint == str(fingerprint)), None)
        if found is None:
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"{fingerprint} is not held back; see `marjoramtide quarantine list`",
                step="cli.quarantine",
            )
        node = found.nodes[0]
        NodeClient(node).post("/quarantine/release", fingerprint=found.fingerprint)
        told = {"released": found.fingerprint, "node": node}
        self._session.output.result(told, f"{found.fingerprint} is released: {found.what}")


def ask_held(session: Session) -> tuple[list[HeldRequest], list[str]]:
    """Return what the members hold back, and the addresses of those that did not answer."""
    members = session.node.get("/members")["members"]
    addresses = [member["operators_address"] for member in members]
    answers = ask_all(addresses, "/quarantine")
    held: dict[str, HeldRequest] = {}
    for address, answer in zip(addresses, answers, strict=True):
        if isinstance(answer, dict):
            for told in answer["held"]:
                name = told["fingerprint"]
                held.setdefault(name, HeldRequest(name)).add(address, told)
    silent = [error.peer for error in answers if isinstance(error, MarjoramtideError)]
    return sorted(held.values(), key=lambda one: -one.wait_s), silent
