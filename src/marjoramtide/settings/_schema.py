"""The schema of the settings tree, used for validation and to generate the reference page."""

from typing import Any

import attrs

from marjoramtide.settings._choice_key import ChoiceKey
from marjoramtide.settings._digests_key import DigestsKey
from marjoramtide.settings._hosts_key import HostsKey
from marjoramtide.settings._key_spec import (
    LEVELS_ABOVE_ROUTE,
    NODE_LEVELS,
    WORKSPACE_LEVELS,
    KeySpec,
)
from marjoramtide.settings._level import Level
from marjoramtide.settings._number_key import NumberKey
from marjoramtide.settings._path_key import PathKey
from marjoramtide.settings._route_settings import RouteSettings
from marjoramtide.settings._split_key import SplitKey
from marjoramtide.settings._workspace_settings import WorkspaceSettings

REQUESTS = "Requests"
CALLERS = "Callers and workspaces"
CAPACITY = "Capacity of one backend server"
COLD_START = "Cold start of backend servers"
SELECTION = "Selection of a backend server"
RETRIES = "Retries and hedged requests"
QUARANTINE = "Quarantine of requests that crash backend servers"
HEALTH_CHECKS = "Health checks"
CLAIMS = "Claims for requests with an Idempotency-Key"
TELEMETRY = "Telemetry"
NODES = "Nodes"

_KEY_SPECS: tuple[KeySpec, ...] = (
    HostsKey(
        name="hosts",
        group=REQUESTS,
        levels=frozenset({Level.SERVICE}),
        meaning="Host names by which callers address the service; defaults to the service's name.",
    ),
    ChoiceKey(
        name="unmatched",
        group=REQUESTS,
        levels=frozenset({Level.SERVICE}),
        choices=("serve", "refuse"),
        meaning="Handling of requests whose path matches no route: `serve` applies the settings "
        "of the service, `refuse` rejects them as not found.",
    ),
    SplitKey(
        name="split",
        group=REQUESTS,
        levels=frozenset({Level.SERVICE, Level.ROUTE}),
        meaning="Services whose backend servers handle the requests, with their weights; if "
        "empty, the service's own backend servers handle them.",
    ),
    NumberKey(
        name="rank",
        group=REQUESTS,
        minimum=0,
        maximum=1000,
        meaning="Order of requests within a priority class; lower ranks go first.",
    ),
    NumberKey(
        name="goal_ms",
        group=REQUESTS,
        minimum=0,
        maximum=600_000,
        meaning="Target latency in milliseconds: a later response is worth less to the caller; 0 "
        "means unknown.",
    ),
    NumberKey(
        name="timeout_ms",
        group=REQUESTS,
        minimum=1,
        maximum=600_000,
        meaning="Timeout in milliseconds of requests for which the caller sets no deadline.",
    ),
    NumberKey(
        name="max_timeout_ms",
        group=REQUESTS,
        minimum=1,
        maximum=600_000,
        meaning="Longest timeout that a caller may ask for, in milliseconds.",
    ),
    NumberKey(
        name="max_depth",
        group=REQUESTS,
        minimum=1,
        maximum=100,
        meaning="Maximum depth of nested calls; deeper requests are rejected.",
    ),
    ChoiceKey(
        name="idempotent",
        group=REQUESTS,
        choices=("method", "yes", "no"),
        meaning="Whether a request may be run more than once: according to its HTTP method (RFC "
        "9110), always, or never.",
    ),
    ChoiceKey(
        name="priority",
        group=REQUESTS,
        choices=("caller", "urgent", "routine"),
        meaning="Priority class of a request: taken from its Priority header (RFC 9218), or fixed.",
    ),
    NumberKey(
        name="max_body_bytes",
        group=REQUESTS,
        minimum=0,
        maximum=1 << 30,
        meaning="Maximum size of a request body, in bytes.",
    ),
    ChoiceKey(
        name="authentication",
        group=CALLERS,
        choices=("none", "key"),
        meaning="Whether a request needs an API key of a workspace.",
    ),
    DigestsKey(
        name="key_digests",
        group=CALLERS,
        levels=frozenset({Level.WORKSPACE}),
        meaning="Digests of the workspace's API keys; a digest belongs to one workspace only.",
    ),
    ChoiceKey(
        name="workspace_priority",
        group=CALLERS,
        levels=WORKSPACE_LEVELS,
        choices=("route", "urgent", "routine"),
        meaning="Priority class of the workspace's requests: determined by the route, or fixed.",
    ),
    NumberKey(
        name="workspace_rank",
        group=CALLERS,
        levels=WORKSPACE_LEVELS,
        minimum=-1,
        maximum=1000,
        meaning="Rank of the workspace's requests; overrides the route's. -1 keeps the rank of "
        "the route.",
    ),
    NumberKey(
        name="requests_per_s",
        group=CALLERS,
        levels=WORKSPACE_LEVELS,
        minimum=0,
        maximum=10_000_000,
        allows_fraction=True,
        meaning="Rate limit of the workspace across all nodes, in requests per second; 0 means no "
        "limit.",
    ),
    NumberKey(
        name="request_burst",
        group=CALLERS,
        levels=WORKSPACE_LEVELS,
        minimum=0,
        maximum=10_000_000,
        allows_fraction=True,
        meaning="Requests that are admitted at once in addition to `requests_per_s`.",
    ),
    NumberKey(
        name="revocation_s",
        group=CALLERS,
        levels=NODE_LEVELS,
        minimum=0,
        maximum=3600,
        allows_fraction=True,
        meaning="Seconds after which every node rejects a revoked API key; a node that hasn't "
        "been able to confirm its keys for that long rejects all of them. 0 leaves only the limit "
        "of `freshness_s`.",
    ),
    NumberKey(
        name="slots",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=10_000,
        meaning="Maximum number of requests that a backend server runs concurrently.",
    ),
    NumberKey(
        name="urgent_slots",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=9_999,
        meaning="Slots reserved for urgent requests; fewer than `slots`.",
    ),
    NumberKey(
        name="connections",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=100_000,
        meaning="Maximum number of connections to a backend server; at least `slots`.",
    ),
    NumberKey(
        name="queue_limit",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100_000,
        meaning="Maximum number of requests of each priority class that are queued for a backend "
        "server.",
    ),
    ChoiceKey(
        name="limiter",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        choices=("adaptive", "fixed", "knee"),
        meaning="How the concurrency limit is determined: adapted to the observed times, fixed, "
        "or kept below the concurrency at which a nearly full backend server slows down.",
    ),
    NumberKey(
        name="min_limit",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=10_000,
        meaning="Lower bound of the adaptive concurrency limit, at most `slots`; 0 means half of "
        "`slots`.",
    ),
    NumberKey(
        name="cold_start_s",
        group=COLD_START,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=3600,
        allows_fraction=True,
        meaning="Seconds after its start for which a backend server is cold.",
    ),
    NumberKey(
        name="cold_per_s",
        group=COLD_START,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100_000,
        allows_fraction=True,
        meaning="Requests per second that a cold backend server can take; 0 means unknown: only "
        "its slots limit them.",
    ),
    NumberKey(
        name="cold_excess",
        group=COLD_START,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=100,
        allows_fraction=True,
        meaning="Maximum number of requests that reach a cold backend server in any second, as a "
        "multiple of `cold_per_s`.",
    ),
    NumberKey(
        name="cold_slack",
        group=COLD_START,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100_000,
        allows_fraction=True,
        meaning="Requests that may reach a cold backend server in any second in addition to "
        "`cold_per_s` times `cold_excess`.",
    ),
    ChoiceKey(
        name="selector",
        group=SELECTION,
        levels=LEVELS_ABOVE_ROUTE,
        choices=(
            "predicted",
            "forecast",
            "round-robin",
            "random",
            "least-outstanding",
            "two-choices",
            "polled-reports",
        ),
        meaning="Policy that selects a backend server.",
    ),
    NumberKey(
        name="choices",
        group=SELECTION,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=20,
        meaning="Number of backend servers that are compared for each request.",
    ),
    NumberKey(
        name="ejection_cap",
        group=SELECTION,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="Maximum share of a service's backend servers that may be ejected as failing or "
        "slow.",
    ),
    NumberKey(
        name="slow_start_s",
        group=SELECTION,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=3600,
        allows_fraction=True,
        meaning="Seconds over which a started backend server is ramped up to its full share of "
        "requests.",
    ),
    NumberKey(
        name="spill_over",
        group=SELECTION,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=1000,
        allows_fraction=True,
        meaning="Penalty on the predicted time of backend servers in another data centre, in "
        "network hops.",
    ),
    NumberKey(
        name="max_attempts",
        group=RETRIES,
        minimum=1,
        maximum=100,
        meaning="Maximum number of backend servers that may receive one request.",
    ),
    NumberKey(
        name="max_asks",
        group=RETRIES,
        minimum=0,
        maximum=100,
        meaning="Maximum number of nodes to which one request is sent, including those that "
        "rejected it before their backend server received it; 0 means `max_attempts`.",
    ),
    NumberKey(
        name="second_try_ratio",
        group=RETRIES,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="Maximum number of attempts beyond the first of each request that all nodes "
        "together send to a service, as a share of its requests; 0 means that only the budgets "
        "below apply.",
    ),
    NumberKey(
        name="second_tries_per_s",
        group=RETRIES,
        minimum=0,
        maximum=100_000,
        allows_fraction=True,
        meaning="Attempts per second beyond the first of each request that all nodes together may "
        "send to a service in addition to `second_try_ratio`.",
    ),
    NumberKey(
        name="retry_budget",
        group=RETRIES,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="Maximum number of retries, as a share of requests.",
    ),
    NumberKey(
        name="rejection_budget",
        group=RETRIES,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="Maximum number of retries after rejections that came before a backend server "
        "received the request, as a share of requests.",
    ),
    NumberKey(
        name="hedge_budget",
        group=RETRIES,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="Maximum number of hedged requests, as a share of requests; only idempotent "
        "requests are hedged.",
    ),
    NumberKey(
        name="hedge_quantile",
        group=RETRIES,
        minimum=0.5,
        maximum=0.9999,
        allows_fraction=True,
        meaning="Quantile of the observed times after which a request is hedged.",
    ),
    NumberKey(
        name="quarantine_after",
        group=QUARANTINE,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=16,
        meaning="Number of backend servers that must have crashed while running a request, with "
        "none having completed it, before the request is quarantined; 0 means never.",
    ),
    NumberKey(
        name="quarantine_s",
        group=QUARANTINE,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=3600,
        allows_fraction=True,
        meaning="Seconds for which such a request is quarantined at first; each further crash "
        "makes it four times longer, up to an hour.",
    ),
    PathKey(
        name="health_path",
        group=HEALTH_CHECKS,
        levels=LEVELS_ABOVE_ROUTE,
        optional=True,
        meaning="Path of the backend server's health endpoint.",
    ),
    NumberKey(
        name="measuring_per_s",
        group=HEALTH_CHECKS,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100,
        allows_fraction=True,
        meaning="Maximum number of health checks per second that each backend server receives.",
    ),
    NumberKey(
        name="measuring_share",
        group=HEALTH_CHECKS,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100,
        allows_fraction=True,
        meaning="Maximum number of health checks, as a share of the requests that a backend "
        "server can handle; above 1 for servers that respond to health checks without occupying a "
        "slot.",
    ),
    NumberKey(
        name="claim_retention_s",
        group=CLAIMS,
        minimum=1,
        maximum=31_536_000,
        allows_fraction=True,
        meaning="Seconds for which an Idempotency-Key is remembered.",
    ),
    ChoiceKey(
        name="claims_when_store_down",
        group=CLAIMS,
        choices=("refuse", "run"),
        meaning="Handling of requests with an Idempotency-Key while the store is unavailable: "
        "`refuse` rejects them as not run, `run` runs them without protection against repeated "
        "execution.",
    ),
    NumberKey(
        name="trace_share",
        group=TELEMETRY,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="Share of requests that are traced.",
    ),
    NumberKey(
        name="max_head_bytes",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=1024,
        maximum=1 << 20,
        meaning="Maximum size of a request head, in bytes.",
    ),
    NumberKey(
        name="max_line_bytes",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=1024,
        maximum=1 << 20,
        meaning="Maximum length of a request line or header field, in bytes.",
    ),
    NumberKey(
        name="head_timeout_ms",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=100,
        maximum=600_000,
        meaning="Milliseconds within which a caller must send a request head, from its first byte "
        "on.",
    ),
    NumberKey(
        name="idle_timeout_ms",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=100,
        maximum=3_600_000,
        meaning="Milliseconds after which an idle connection of a caller is closed.",
    ),
    NumberKey(
        name="freshness_s",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=2,
        maximum=60,
        allows_fraction=True,
        meaning="Seconds without contact with the store or any other node after which a node "
        "stops accepting callers' requests.",
    ),
    NumberKey(
        name="watchers",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=1,
        maximum=9,
        meaning="Number of nodes in a data centre that watch the settings in the store.",
    ),
)

SCHEMA: dict[str, KeySpec] = {spec.name: spec for spec in _KEY_SPECS}

NODE_DEFAULTS = {
    "max_head_bytes": 32 * 1024,
    "max_line_bytes": 8190,
    "head_timeout_ms": 5000,
    "idle_timeout_ms": 75_000,
    "freshness_s": 6.0,
    "watchers": 3,
    "revocation_s": 0.0,
}
DEFAULTS: dict[str, Any] = {
    field.name: field.default
    for settings in (RouteSettings, WorkspaceSettings)
    for field in attrs.fields(settings)
    if field.name in SCHEMA
} | NODE_DEFAULTS
