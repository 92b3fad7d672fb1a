"""``marjoramtide service``: the services of the settings tree."""

from typing import Any

from marjoramtide.cli._session import Session
from marjoramtide.cli._settings_commands import WAIT_S, to_tree_value
from marjoramtide.settings import parse_tree

Edits = list[dict[str, Any]]


class ServiceCommands:
    """Manage the services of the fleet."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Print the services with their host names and numbers of nodes."""
        tree = parse_tree(self._session.node.get("/settings")["text"], [])
        members = self._session.node.get("/members")["members"]
        services = [
            {
                "service": name,
                "hosts": tree.hosts(name),
                "nodes": sum(member["service"] == name for member in members),
            }
            for name in tree.services()
        ]
        rows = [
            (service["service"], " ".join(service["hosts"]), service["nodes"])
            for service in services
        ]
        self._session.output.table(services, rows, ("service", "hosts", "nodes"))

    def create(
        self,
        name: str,
        hosts: Any = (),
        insist: bool = False,
        wait_s: float = WAIT_S,
        change_id: str = "",
    ) -> None:
        """Create the service NAME, for example `create mapdesk --hosts tiles.example`.

        Its other settings are inherited; set them with `settings set /services/NAME KEY VALUE`.
        """
        path = f"/services/{name}"
        edits: Edits = [{"action": "create", "path": path}]
        if hosts:
            names = [hosts] if isinstance(hosts, str) else to_tree_value(hosts)
            edits.append({"action": "set", "path": path, "key": "hosts", "value": names})
        self._change(edits, insist, wait_s, change_id)

    def remove(
        self, name: str, insist: bool = False, wait_s: float = WAIT_S, change_id: str = ""
    ) -> None:
        """Remove the service NAME with all its branches."""
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
