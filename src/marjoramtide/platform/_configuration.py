"""Conversion of the operator's configuration to the project's settings tree."""

import json
from typing import Any

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.platform._workspaces import authentication_exemption, workspace_tables
from marjoramtide.settings import Envelope
from marjoramtide.settings.sync import TreeSource
from marjoramtide.store import ObjectStore, StoredObject

CONFIG_PREFIX = "config/"
LINEAGE = "operator"
IDEMPOTENT_VALUES = {"idempotent": "yes", "non_idempotent": "no"}
HIGHEST_PRIORITY = 0


class OperatorConfiguration(TreeSource):
    """The operator's latest configuration, merged over ``base``, tables of the settings tree.

    Each host becomes a branch whose routes name the services that run their requests. Each service
    of the operator becomes a branch with its capacity, which callers can't address.
    """

    key = CONFIG_PREFIX + "main"
    may_be_absent = False
    is_writable = False

    def __init__(self, base: dict[str, Any]) -> None:
        self.base = base

    async def read(self, store: ObjectStore, timeout: float) -> tuple[StoredObject | None, int]:
        # A list, since it also returns the version to watch from; the kind has only this object.
        listing = await store.list(CONFIG_PREFIX, timeout=timeout)
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
                f"invalid configuration: {error!r}",
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
    """Convert the operator's configuration to the tables of a settings tree."""
    services = {service["Name"]: service_branch(service) for service in configuration["Services"]}
    for route in configuration["Routes"]:
        host = route["Host"].lower()
        branch = services.setdefault(host, {"hosts": [host], "unmatched": "refuse", "routes": {}})
        branch["routes"][route["PathPrefix"]] = route_branch(route)
    tables = request_limits(configuration.get("Limits") or {}) | {"services": services}
    return tables | workspace_tables(configuration)


def request_limits(given: dict[str, Any]) -> dict[str, Any]:
    """Return the root settings that limit the size and duration of callers' requests."""
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
    shares = route.get("WeightedSplit") or [{"Service": route["Service"], "Weight": 1}]
    priority = route.get("Priority", HIGHEST_PRIORITY + 1)
    return {
        "split": {share["Service"]: share["Weight"] for share in shares},
        "idempotent": IDEMPOTENT_VALUES.get(route["Kind"], "no"),
        "timeout_ms": route["TimeoutMs"],
        "max_timeout_ms": route["TimeoutMs"],
        "goal_ms": route.get("TargetLatencyMs") or 0,
        "max_attempts": route["MaxAttempts"],
        "priority": "urgent" if priority == HIGHEST_PRIORITY else "routine",
        "rank": priority,
    } | authentication_exemption(route)


def merge(base_tables: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Merge two sets of tables recursively; ``overrides`` takes precedence."""
    merged = base_tables | overrides
    for key in base_tables.keys() & overrides.keys():
        if isinstance(base_tables[key], dict) and isinstance(overrides[key], dict):
            merged[key] = merge(base_tables[key], overrides[key])
    return merged
