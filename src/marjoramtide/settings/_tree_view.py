"""The settings tree, resolved for one node."""

from collections.abc import Callable
from typing import Any

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings._envelope import Envelope
from marjoramtide.settings._freshness import Freshness
from marjoramtide.settings._locality import Locality
from marjoramtide.settings._resolved_values import ResolvedValues
from marjoramtide.settings._route_settings import RouteSettings
from marjoramtide.settings._settings_view import SettingsView
from marjoramtide.settings._tree import SettingsTree
from marjoramtide.settings._workspaces import Workspaces, make_workspaces

# An added key is in force on all nodes within this time, in seconds.
KEY_PROPAGATION_S = 2.0
ROUTE_KEYS = frozenset(field.name for field in attrs.fields(RouteSettings))


def prefix_covers(prefix: str, path: str) -> bool:
    """Tell whether a route prefix covers ``path``: whole segments only.

    ``/tiles`` covers ``/tiles``, ``/tiles/7`` and ``/tiles?z=7`` but not ``/tilesets``.
    """
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or path[len(prefix) : len(prefix) + 1] in ("", "/", "?")


class TreeSettingsView(SettingsView):
    """Resolves the tree for the node's locality once per revision, so that reads are look-ups.

    Only the task that applies revisions calls ``install``; all others read.
    """

    def __init__(self, locality: Locality, freshness: Freshness) -> None:
        self.locality = locality
        self.freshness = freshness
        self.envelope: Envelope | None = None
        self.tree = SettingsTree({})
        self.resolved_node_values: dict[str, Any] = ResolvedValues.from_chain([]).values
        self.routes: dict[str, list[tuple[str, RouteSettings]]] = {}
        self.hosts: dict[str, str] = {}
        self.current_workspaces = Workspaces()
        # Services that refuse a path which none of their routes covers.
        self.strict_services: set[str] = set()
        self.listeners: list[Callable[[int], None]] = []

    @property
    def revision(self) -> int:
        return self.envelope.revision if self.envelope else 0

    @property
    def digest(self) -> str:
        return self.envelope.digest if self.envelope else ""

    @property
    def node_values(self) -> dict[str, Any]:
        return self.resolved_node_values

    @property
    def workspaces(self) -> Workspaces:
        return self.current_workspaces

    @property
    def is_current(self) -> bool:
        return self.freshness.is_current

    @property
    def can_accept_keys(self) -> bool:
        max_age_s = self.resolved_node_values["revocation_s"]
        return not max_age_s or self.freshness.proof_age_s <= max_age_s

    @property
    def can_reject_unknown_keys(self) -> bool:
        return (
            not self.resolved_node_values["revocation_s"]
            or self.freshness.proof_age_s <= KEY_PROPAGATION_S
        )

    def service_for_host(self, host: str) -> str | None:
        service = self.hosts.get(host)
        if service is None:
            name = host[: host.rfind("]") + 1] if host.startswith("[") else host.partition(":")[0]
            service = self.hosts.get(name.lower().rstrip("."))
        return service

    def route(self, service: str, path: str) -> RouteSettings:
        """Return the settings of a request; raises ``unknown-service``."""
        try:
            routes = self.routes[service]
        except KeyError:
            raise MarjoramtideError(
                ErrorCode.UNKNOWN_SERVICE, f"no service {service!r}", step="settings.route"
            ) from None
        return next(
            (settings for prefix, settings in routes if prefix_covers(prefix, path)), routes[-1][1]
        )

    def find(self, host: str, path: str) -> RouteSettings:
        """Return the settings of a caller's request; raises ``unknown-service``."""
        service = self.service_for_host(host)
        if service is None:
            raise MarjoramtideError(
                ErrorCode.UNKNOWN_SERVICE,
                f"no service answers for host {host[:100]!r}",
                step="settings.route",
            )
        settings = self.route(service, path)
        if settings.route == "/" and service in self.strict_services:
            raise MarjoramtideError(
                ErrorCode.UNKNOWN_SERVICE,
                f"no route of {service!r} covers {path[:100]!r}",
                step="settings.route",
            )
        return settings

    def on_change(self, listener: Callable[[int], None]) -> None:
        self.listeners.append(listener)

    def resolved(self, service: str, path: str) -> tuple[str, ResolvedValues]:
        """Return the route prefix that covers ``path``, and its values with their origins."""
        prefix = self.route(service, path).route
        return prefix, self.tree.resolve(self.locality, service, prefix)

    def install(self, envelope: Envelope, tree: SettingsTree) -> None:
        """Put a validated revision into force and notify the listeners."""
        routes = {
            service: [
                (prefix, self._route_settings(tree, service, prefix))
                for prefix in tree.routes(service)
            ]
            for service in tree.services()
        }
        self.hosts = {host: service for service in routes for host in tree.hosts(service)}
        self.strict_services = {
            service
            for service, found in routes.items()
            if found[-1][1].unmatched == "refuse" and "/" not in tree.declared_routes(service)
        }
        self.current_workspaces = make_workspaces(tree.workspaces())
        self.resolved_node_values = tree.resolve(self.locality).values
        self.envelope, self.tree, self.routes = envelope, tree, routes
        self.freshness.max_age_s = self.node_values["freshness_s"]
        for listener in self.listeners:
            listener(envelope.revision)

    def _route_settings(self, tree: SettingsTree, service: str, prefix: str) -> RouteSettings:
        resolved = tree.resolve(self.locality, service, prefix)
        values = {key: value for key, value in resolved.values.items() if key in ROUTE_KEYS}
        return RouteSettings(**values | {"service": service, "route": prefix})
