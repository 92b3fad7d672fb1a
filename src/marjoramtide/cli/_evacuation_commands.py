"""``marjoramtide evacuation``: data centres whose backend servers get no requests."""

import time
from collections.abc import Iterable
from typing import Any

import attrs

from marjoramtide.cli._node_client import query_nodes
from marjoramtide.cli._session import Session, current_user
from marjoramtide.errors import MarjoramtideError

COLUMNS = ("data_centre", "author", "since", "running", "free_elsewhere", "slots_elsewhere")


@attrs.frozen(slots=True)
class EvacuationProgress:
    """The progress of an evacuation.

    ``running`` requests are still executing at backend servers of the data centre; of all
    ``slots_elsewhere``, ``free_elsewhere`` are free.
    """

    data_centre: str
    author: str
    since: str
    running: int
    free_elsewhere: int
    slots_elsewhere: int


class EvacuationCommands:
    """Evacuate data centres: their backend servers get no requests until released."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def begin(self, data_centre: str) -> None:
        """Evacuate DATA_CENTRE: send it no new requests; those in flight finish."""
        data_centre = str(data_centre)
        response = self._session.node.post(
            "/evacuations/begin", data_centre=data_centre, author=current_user()
        )
        self._session.output.result(response, f"{data_centre} is evacuated")

    def release(self, data_centre: str) -> None:
        """End an evacuation: backend servers of DATA_CENTRE get requests again."""
        data_centre = str(data_centre)
        response = self._session.node.post("/evacuations/release", data_centre=data_centre)
        self._session.output.result(response, f"{data_centre} gets work again")

    def list(self) -> None:
        """Print the evacuated data centres with author, start time and progress."""
        found = self._session.node.get("/evacuations")["evacuations"]
        members = self._session.node.get("/members")["members"]
        responses = query_nodes([member["operators_address"] for member in members], "/status")
        nodes = [status for status in responses if isinstance(status, dict)]
        evacuated = {evacuation["data_centre"] for evacuation in found}
        rows = [evacuation_progress(evacuation, nodes, evacuated) for evacuation in found]
        unreachable = [error.peer for error in responses if isinstance(error, MarjoramtideError)]
        document = {"evacuations": [attrs.asdict(row) for row in rows], "silent": unreachable}
        self._session.output.table(document, [attrs.astuple(row) for row in rows], COLUMNS)
        if unreachable:
            self._session.output.progress(f"no response from {', '.join(unreachable)}")


def evacuation_progress(
    evacuation: dict[str, Any], nodes: Iterable[dict[str, Any]], evacuated: set[str]
) -> EvacuationProgress:
    """Return the progress of an evacuation by the status of all nodes that responded."""
    nodes = list(nodes)
    evacuated_loads = [
        node["load"] for node in nodes if node["data_centre"] == evacuation["data_centre"]
    ]
    other_loads = [node["load"] for node in nodes if node["data_centre"] not in evacuated]
    slots_elsewhere = sum(load["limit"] for load in other_loads)
    return EvacuationProgress(
        evacuation["data_centre"],
        evacuation["author"],
        (
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(evacuation["since"]))
            if evacuation["since"]
            else ""
        ),
        sum(load["in_use"] for load in evacuated_loads),
        slots_elsewhere - sum(load["in_use"] for load in other_loads),
        slots_elsewhere,
    )
