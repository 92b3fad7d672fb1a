"""``marjoramtide evacuation``: data centres whose backend servers get no work."""

import time
from collections.abc import Iterable
from typing import Any

import attrs

from marjoramtide.cli._node_client import ask_all
from marjoramtide.cli._session import Session, current_user
from marjoramtide.errors import MarjoramtideError

COLUMNS = ("data_centre", "author", "since", "running", "free_elsewhere", "slots_elsewhere")


@attrs.frozen(slots=True)
class EvacuationProgress:
    """How far an evacuation is.

    ``running`` requests still run at backend servers of the data centre; of the slots of all others
    ``free_elsewhere`` are not in use.
    """

    data_centre: str
    author: str
    since: str
    running: int
    free_elsewhere: int
    slots_elsewhere: int


class EvacuationCommands:
    """Data centres whose backend servers get nothing more, until taken back."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def begin(self, data_centre: str) -> None:
        """Send nothing more to backend servers of DATA_CENTRE; what they run ends well."""
        data_centre = str(data_centre)
        told = self._session.node.post(
            "/evacuations/begin", data_centre=data_centre, author=current_user()
        )
        self._session.output.result(told, f"{data_centre} is evacuated")

    def release(self, data_centre: str) -> None:
        """Take an evacuation back: backend servers of DATA_CENTRE get work again."""
        data_centre = str(data_centre)
        told = self._session.node.post("/evacuations/release", data_centre=data_centre)
        self._session.output.result(told, f"{data_centre} gets work again")

    def list(self) -> None:
        """Print what is evacuated, by whom, since when, and how far it is."""
        found = self._session.node.get("/evacuations")["evacuations"]
        members = self._session.node.get("/members")["members"]
        answers = ask_all([member["operators_address"] for member in members], "/status")
        nodes = [answer for answer in answers if isinstance(answer, dict)]
        evacuated = {each["data_centre"] for each in found}
        rows = [progress_of(each, nodes, evacuated) for each in found]
        silent = [error.peer for error in answers if isinstance(error, MarjoramtideError)]
        told = {"evacuations": [attrs.asdict(row) for row in rows], "silent": silent}
        self._session.output.table(told, [attrs.astuple(row) for row in rows], COLUMNS)
        if silent:
            self._session.output.progress(f"no answer from {', '.join(silent)}")


def progress_of(
    told: dict[str, Any], nodes: Iterable[dict[str, Any]], evacuated: set[str]
) -> EvacuationProgress:
    """Return how far an evacuation is, by the status of all nodes that answered."""
    nodes = list(nodes)
    there = [node["load"] for node in nodes if node["data_centre"] == told["data_centre"]]
    others = [node["load"] for node in nodes if node["data_centre"] not in evacuated]
    slots = sum(load["limit"] for load in others)
    return EvacuationProgress(
        told["data_centre"],
        told["author"],
        time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(told["since"])) if told["since"] else "",
        sum(load["in_use"] for load in there),
        slots - sum(load["in_use"] for load in others),
        slots,
    )
