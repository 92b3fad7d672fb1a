"""The operator's configuration as the project's settings tree."""

import json
from typing import Any

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.platform._workspaces import exemption, workspace_tables
from marjoramtide.settings import Envelope
from marjoramtide.settings.sync import TreeSource
from marjoramtide.store import ObjectStore, StoredObject

KIND = "config/"
LINEAGE = "operator"
IDEMPOTENT = {"idempotent": "yes", "non_idempotent": "no"}
HIGHEST_PRIORITY = 0


class OperatorConfiguration(TreeSource):
    """The operator's newest configuration, laid over ``base``, a tree of our own as plain tables.

    Each host becomes a branch of its own whose routes tell which service runs their requests; each
    service of the operator's becomes a branch with its capacity, which no caller can address.
    """

    key = KIND + "main"
    may_be_absent = False
    is_writable = False

    def __init__(self, base: dict[str, Any]) -> None:
        self.base = base

    async def read(self, store: ObjectStore, timeout: float) -> tuple[StoredObject | None, int]:
        # A list, since it also tells where a watch goes on; the kind holds this one object.
        listing = await store.list(KIND, timeout=timeout)
        found = next((each for each in listing if each.key == self.key), None)
        return found, listing.version

    def decode(self, stored: StoredObject) -> Envelope:
        try:
            configuration = json.loads(stored.value)
            version = configuration["Version"]
            tree = merge(self.base, settings_tree(configuration))
            revision = int(version.removeprefix("r"))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                f"not a configuration: {error!r}",
                step="settings.decode",
                peer=stored.key,
            ) from error
        return Envelope(
            revision=revision,
            lineage=LINEAGE,
            change=version,
            author=LINEAGE,
            time=0.0,
            parent="",
            recent=[],
            text=json.dumps(tree, separators=(",", ":"), sort_keys=True),
        )


def settings_tree(configuration: dict[str, Any]) -> dict[str, Any]:
    """Return the operator's configuration as the tables of a settings tree."""
    services = {service["Name"]: service_branch(service) for service in configuration["Services"]}
    for route in configuration["Routes"]:
        host = route["Host"].lower()
        branch = services.setdefault(host, {"hosts": [host], "unmatched": "refuse", "routes": {}})
        branch["routes"][route["PathPrefix"]] = route_branch(route)
    tables = limits(configuration.get("Limits") or {}) | {"services": services}
    return tables | workspace_tables(configuration)


def limits(given: dict[str, Any]) -> dict[str, Any]:
    """Return the values of the tree's root that bound what callers may send."""
    names = {
        "MaxHeaderBytes": ("max_head_bytes", "max_line_bytes"),
        "MaxBodyBytes": ("max_body_bytes",),
        "HeaderTimeoutMs": ("head_timeout_ms",),
        "IdleTimeoutMs": ("idle_timeout_ms",),
    }
    return {key: given[name] for name, keys in names.items() if name in given for key in keys}


def service_branch(service: dict[str, Any]) -> dict[str, Any]:
    branch: dict[str, Any] = {"hosts": []}
    if service.get("HealthPath"):
        branch["health_path"] = service["HealthPath"]
    if service.get("MaxConns"):
        branch["connections"] = service["MaxConns"]
    if service.get("ColdPerS"):
        branch["cold_per_s"] = service["ColdPerS"]
        branch["cold_start_s"] = service.get("ColdStartS") or 0.0
    return branch


def route_branch(route: dict[str, Any]) -> dict[str, Any]:
    parts = route.get("WeightedSplit") or [{"Service": route["Service"], "Weight": 1}]
    priority = route.get("Priority", HIGHEST_PRIORITY + 1)
    return {
        "split": {part["Service"]: part["Weight"] for part in parts},
        "idempotent": IDEMPOTENT.get(route["Kind"], "no"),
        "timeout_ms": route["TimeoutMs"],
        "max_timeout_ms": route["TimeoutMs"],
        "goal_ms": route.get("TargetLatencyMs") or 0,
        "max_attempts": route["MaxAttempts"],
        "priority": "urgent" if priority == HIGHEST_PRIORITY else "routine",
        "rank": priority,
    } | exemption(route)


def merge(below: dict[str, Any], above: dict[str, Any]) -> dict[str, Any]:
    """Return both sets of tables in one, where ``above`` wins."""
    both = below | above
    for key in below.keys() & above.keys():
        if isinstance(below[key], dict) and isinstance(above[key], dict):
            both[key] = merge(below[key], above[key])
    return both
