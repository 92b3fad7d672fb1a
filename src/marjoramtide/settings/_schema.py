"""The schema of the settings tree: validation and the reference page are derived from it."""

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
COLD_START = "Cold backend servers"
SELECTION = "Choice of a backend server"
RETRIES = "Second tries"
QUARANTINE = "Requests that end backend servers"
HEALTH_CHECKS = "Measuring a backend server"
CLAIMS = "Claims for requests with an Idempotency-Key"
TELEMETRY = "Telemetry"
NODES = "Nodes"

_KEY_SPECS: tuple[KeySpec, ...] = (
    HostsKey(
        name="hosts",
        group=REQUESTS,
        levels=frozenset({Level.SERVICE}),
        meaning="Host names by which callers address the service; its own name by default.",
    ),
    ChoiceKey(
        name="unmatched",
        group=REQUESTS,
        levels=frozenset({Level.SERVICE}),
        choices=("serve", "refuse"),
        meaning="What becomes of a request whose path no route covers: served by the settings of "
        "the service, or refused as not found.",
    ),
    SplitKey(
        name="split",
        group=REQUESTS,
        levels=frozenset({Level.SERVICE, Level.ROUTE}),
        meaning="Services whose backend servers run the requests, with the weight of each; empty "
        "where the service's own backend servers do.",
    ),
    NumberKey(
        name="rank",
        group=REQUESTS,
        minimum=0,
        maximum=1000,
        meaning="The order of requests inside a class: lower ranks go first.",
    ),
    NumberKey(
        name="goal_ms",
        group=REQUESTS,
        minimum=0,
        maximum=600_000,
        meaning="Milliseconds within which an answer is worth most to its caller; 0 where that is "
        "not known.",
    ),
    NumberKey(
        name="timeout_ms",
        group=REQUESTS,
        minimum=1,
        maximum=600_000,
        meaning="Milliseconds until the deadline of a request whose caller names none.",
    ),
    NumberKey(
        name="max_timeout_ms",
        group=REQUESTS,
        minimum=1,
        maximum=600_000,
        meaning="The longest deadline a caller may ask for, in milliseconds.",
    ),
    NumberKey(
        name="max_depth",
        group=REQUESTS,
        minimum=1,
        maximum=100,
        meaning="How many calls deep a request may be before it is refused.",
    ),
    ChoiceKey(
        name="idempotent",
        group=REQUESTS,
        choices=("method", "yes", "no"),
        meaning="Whether requests may run more than once: by their HTTP method (RFC 9110), "
        "always, or never.",
    ),
    ChoiceKey(
        name="priority",
        group=REQUESTS,
        choices=("caller", "urgent", "routine"),
        meaning="The class of a request: what its Priority header says (RFC 9218), or fixed.",
    ),
    NumberKey(
        name="max_body_bytes",
        group=REQUESTS,
        minimum=0,
        maximum=1 << 30,
        meaning="The largest request body, in bytes.",
    ),
    ChoiceKey(
        name="authentication",
        group=CALLERS,
        choices=("none", "key"),
        meaning="Whether a request needs the key of a workspace.",
    ),
    DigestsKey(
        name="key_digests",
        group=CALLERS,
        levels=frozenset({Level.WORKSPACE}),
        meaning="Digests of the keys that open the workspace; a digest belongs to one workspace.",
    ),
    ChoiceKey(
        name="workspace_priority",
        group=CALLERS,
        levels=WORKSPACE_LEVELS,
        choices=("route", "urgent", "routine"),
        meaning="The class of the workspace's requests: as the route has it, or fixed.",
    ),
    NumberKey(
        name="workspace_rank",
        group=CALLERS,
        levels=WORKSPACE_LEVELS,
        minimum=-1,
        maximum=1000,
        meaning="The rank of the workspace's requests in place of the route's; -1 leaves it to "
        "the route.",
    ),
    NumberKey(
        name="requests_per_s",
        group=CALLERS,
        levels=WORKSPACE_LEVELS,
        minimum=0,
        maximum=10_000_000,
        allows_fraction=True,
        meaning="Requests a second that all nodes together admit for the workspace; 0 stands for "
        "no limit.",
    ),
    NumberKey(
        name="request_burst",
        group=CALLERS,
        levels=WORKSPACE_LEVELS,
        minimum=0,
        maximum=10_000_000,
        allows_fraction=True,
        meaning="Requests that are admitted at once besides.",
    ),
    NumberKey(
        name="revocation_s",
        group=CALLERS,
        levels=NODE_LEVELS,
        minimum=0,
        maximum=3600,
        allows_fraction=True,
        meaning="Seconds after which a key that was taken away opens nothing at any node, also at "
        "one that can't hear of it, which refuses all keys then; 0 leaves it to `freshness_s`.",
    ),
    NumberKey(
        name="slots",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=10_000,
        meaning="Requests that a backend server runs at the same time.",
    ),
    NumberKey(
        name="urgent_slots",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=9_999,
        meaning="Slots that only urgent requests may take; fewer than `slots`.",
    ),
    NumberKey(
        name="connections",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=100_000,
        meaning="Connections that a backend server takes; not fewer than `slots`.",
    ),
    NumberKey(
        name="queue_limit",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100_000,
        meaning="Requests that may wait beside a backend server.",
    ),
    ChoiceKey(
        name="limiter",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        choices=("adaptive", "fixed", "knee"),
        meaning="Whether the number of slots in use follows the times observed, is fixed, or stays "
        "below where the backend server becomes slow because it is nearly full.",
    ),
    NumberKey(
        name="min_limit",
        group=CAPACITY,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=10_000,
        meaning="What the adaptive limit never falls below, not more than `slots`; 0 stands for "
        "half of `slots`.",
    ),
    NumberKey(
        name="cold_start_s",
        group=COLD_START,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=3600,
        allows_fraction=True,
        meaning="Seconds for which a backend server is cold after its start.",
    ),
    NumberKey(
        name="cold_per_s",
        group=COLD_START,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100_000,
        allows_fraction=True,
        meaning="Requests a second that a cold backend server is given; 0 where it takes as many "
        "as it has slots for.",
    ),
    NumberKey(
        name="cold_excess",
        group=COLD_START,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=100,
        allows_fraction=True,
        meaning="How many times `cold_per_s` may reach a cold backend server in any second.",
    ),
    NumberKey(
        name="cold_slack",
        group=COLD_START,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100_000,
        allows_fraction=True,
        meaning="Requests that may reach a cold backend server in any second besides.",
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
        meaning="The policy that chooses a backend server.",
    ),
    NumberKey(
        name="choices",
        group=SELECTION,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=20,
        meaning="Backend servers that are compared for each request.",
    ),
    NumberKey(
        name="ejection_cap",
        group=SELECTION,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="The largest share of a service's backend servers that may be set aside as failing "
        "or slow.",
    ),
    NumberKey(
        name="slow_start_s",
        group=SELECTION,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=3600,
        allows_fraction=True,
        meaning="Seconds over which a started backend server is given its full share.",
    ),
    NumberKey(
        name="spill_over",
        group=SELECTION,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=1000,
        allows_fraction=True,
        meaning="How much slower, in network hops, another data centre may seem.",
    ),
    NumberKey(
        name="max_attempts",
        group=RETRIES,
        minimum=1,
        maximum=100,
        meaning="Backend servers that are sent one request at most.",
    ),
    NumberKey(
        name="max_asks",
        group=RETRIES,
        minimum=0,
        maximum=100,
        meaning="Nodes that are asked at most for one request, those included that refused before "
        "their backend server saw it; 0 stands for `max_attempts`.",
    ),
    NumberKey(
        name="second_try_ratio",
        group=RETRIES,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="What all nodes together may send to a service beyond the first try of each "
        "request, as a share of its requests; 0 where the budgets below alone count.",
    ),
    NumberKey(
        name="second_tries_per_s",
        group=RETRIES,
        minimum=0,
        maximum=100_000,
        allows_fraction=True,
        meaning="Second tries a second that all nodes together may send to a service besides.",
    ),
    NumberKey(
        name="retry_budget",
        group=RETRIES,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="Retries, as a share of requests.",
    ),
    NumberKey(
        name="rejection_budget",
        group=RETRIES,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="Second tries after a backend server refused a request, as a share of requests.",
    ),
    NumberKey(
        name="hedge_budget",
        group=RETRIES,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="Hedged requests, as a share of requests; idempotent ones only.",
    ),
    NumberKey(
        name="hedge_quantile",
        group=RETRIES,
        minimum=0.5,
        maximum=0.9999,
        allows_fraction=True,
        meaning="The quantile of observed times after which a request is hedged.",
    ),
    NumberKey(
        name="quarantine_after",
        group=QUARANTINE,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=16,
        meaning="Backend servers that have ended while they ran one request, and none of which has "
        "completed it, until it is held back; 0 stands for never.",
    ),
    NumberKey(
        name="quarantine_s",
        group=QUARANTINE,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=1,
        maximum=3600,
        allows_fraction=True,
        meaning="Seconds for which such a request is held back at first; each further end makes it "
        "four times longer, up to an hour.",
    ),
    PathKey(
        name="health_path",
        group=HEALTH_CHECKS,
        levels=LEVELS_ABOVE_ROUTE,
        optional=True,
        meaning="The backend server's health endpoint.",
    ),
    NumberKey(
        name="measuring_per_s",
        group=HEALTH_CHECKS,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100,
        allows_fraction=True,
        meaning="Measuring calls a second that each backend server receives at most.",
    ),
    NumberKey(
        name="measuring_share",
        group=HEALTH_CHECKS,
        levels=LEVELS_ABOVE_ROUTE,
        minimum=0,
        maximum=100,
        allows_fraction=True,
        meaning="Measuring calls, as a share of the requests that a backend server can do; above 1 "
        "where it answers them without a slot.",
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
        meaning="What becomes of a request with an Idempotency-Key while the store is down: "
        "refused as not run, or run without protection against a repetition.",
    ),
    NumberKey(
        name="trace_share",
        group=TELEMETRY,
        minimum=0,
        maximum=1,
        allows_fraction=True,
        meaning="The share of requests that are traced.",
    ),
    NumberKey(
        name="max_head_bytes",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=1024,
        maximum=1 << 20,
        meaning="The largest request head, in bytes.",
    ),
    NumberKey(
        name="max_line_bytes",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=1024,
        maximum=1 << 20,
        meaning="The longest request line or header field, in bytes.",
    ),
    NumberKey(
        name="head_timeout_ms",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=100,
        maximum=600_000,
        meaning="Milliseconds in which a caller must send a request's head once it has begun.",
    ),
    NumberKey(
        name="idle_timeout_ms",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=100,
        maximum=3_600_000,
        meaning="Milliseconds for which a caller's connection may stay without a request.",
    ),
    NumberKey(
        name="freshness_s",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=2,
        maximum=60,
        allows_fraction=True,
        meaning="Seconds after which a node that hears neither the store nor any other node stops "
        "taking callers' requests.",
    ),
    NumberKey(
        name="watchers",
        group=NODES,
        levels=NODE_LEVELS,
        minimum=1,
        maximum=9,
        meaning="Nodes of a data centre that watch the settings in the store.",
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
