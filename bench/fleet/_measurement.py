"""The figures of one fleet."""

import attrs


@attrs.frozen(slots=True, kw_only=True)
class Measurement:
    """Idle rates are per node and second, except those of the store, which are per fleet.

    ``*_s`` are seconds from an event until the last node knows of it. ``restart_*`` and
    ``outage_*`` are store calls of the whole fleet. Gossip is counted at the sender, with IP and
    UDP headers. ``scaled_restart`` is a restart against a store whose limits are scaled down from
    the real ones in the ratio of this fleet to the target fleet.
    """

    nodes: int
    start_s: float
    cpu_percent: float
    rss_mb: float
    pss_mb: float
    uss_mb: float
    gossip_bytes: float
    gossip_datagrams: float
    refutations: float
    peer_links: float
    store_reads: float
    store_writes: float
    store_watches: float
    settings_s: float
    settings_max_s: float
    settings_cpu_ms: float
    drain_s: float
    drain_max_s: float
    evacuation_s: float
    evacuation_max_s: float
    evacuation_store_calls: float
    replacement_s: float
    replacement_cpu_ms: float
    replacement_gossip_bytes: float
    replacement_store_calls: float
    outage_calls_peak: float
    after_outage_reads_peak: float
    after_outage_writes_peak: float
    tenth_dead_s: float
    restart_s: float
    restart_reads: float
    restart_writes: float
    restart_watches: float
    restart_throttled: float
    restart_reads_peak: float
    restart_writes_peak: float
    scaled_restart_s: float
    scaled_restart_throttled: float
    announcements_kb: float


PER_NODE = (
    "cpu_percent",
    "rss_mb",
    "pss_mb",
    "uss_mb",
    "gossip_bytes",
    "gossip_datagrams",
    "peer_links",
    "settings_cpu_ms",
    "replacement_cpu_ms",
    "replacement_gossip_bytes",
)
PER_FLEET = (
    "store_reads",
    "store_writes",
    "store_watches",
    "replacement_store_calls",
    "outage_calls_peak",
    "after_outage_reads_peak",
    "after_outage_writes_peak",
    "restart_reads",
    "restart_writes",
    "restart_watches",
    "announcements_kb",
)
TIMES = ("settings_max_s", "drain_max_s", "evacuation_max_s", "tenth_dead_s")
