"""``marjoramtide service``: the services that the tree describes."""

from typing import Any

from marjoramtide.cli._session import Session
from marjoramtide.cli._settings_commands import WAIT_S, plain
from marjoramtide.settings import parse_tree

Edits = list[dict[str, Any]]


class ServiceCommands:
    """The services of the fleet."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Print the services with their host names, and how many nodes each has."""
        tree = parse_tree(self._session.node.get("/settings")["text"], [])
        members = self._session.node.get("/members")["members"]
        told = [
            {
                "service": name,
                "hosts": tree.hosts(name),
                "nodes": sum(member["service"] == name for member in members),
            }
            for name in tree.services()
        ]
        rows = [(one["service"], " ".join(one["hosts"]), one["nodes"]) for one in told]
        self._session.output.table(told, rows, ("service", "hosts", "nodes"))

    def create(
        self,
        name: str,
        hosts: Any = (),
        insist: bool = False,
        wait_s: float = WAIT_S,
        change_id: str = "",
    ) -> None:
        """Create the service NAME, for example `create mapdesk --hosts tiles.example`.

        Its other settings are inherited; set them by `settings set /services/NAME KEY VALUE`.
        """
        path = f"/services/{name}"
        edits: Edits = [{"action": "create", "path": path}]
        if hosts:
            names = [hosts] if isinstance(hosts, str) else plain(hosts)
            edits.append({"action": "set", "path": path, "key": "hosts", "value": names})
        self._change(edits, insist, wait_s, change_id)

    def remove(
        self, name: str, insist: bool = False, wait_s: float = WAIT_S, change_id: str = ""
    ) -> None:
        """Remove the service NAME and all that any branch sets for it."""
        tree = parse_tree(self._session.node.get("/settings")["text"], [])
        found = [
            str(branch)
            for branch in tree.branches
            if branch.service == name and branch.route is None
        ]
        edits = [{"action": "remove", "path": path} for path in found or [f"/services/{name}"]]
        self._change(edits, insist, wait_s, change_id)

    def _change(self, edits: Edits, insist: bool, wait_s: float, change_id: str) -> None:
        base = self._session.node.get("/settings")["revision"]
        body = {"base": base, "edits": edits, "insist": insist, "wait_s": wait_s}
        self._session.change(body, change_id)
