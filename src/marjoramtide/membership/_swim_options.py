"""Tunable parameters of the SWIM protocol."""

import math

import attrs


@attrs.frozen(slots=True)
class SwimOptions:
    """Intervals, timeouts and bandwidth budgets, all per node.

    No cost grows with the size of the fleet: there is one probe each ``probe_interval_s``, and
    gossip and record replies each have a token bucket of bytes. A probe is sent to helpers after
    ``probe_timeout_s`` and fails after ``probe_total_timeout_s``. Suspicions last between
    ``min_suspicion_timeout_s`` and ``suspicion_max_ratio`` times that, depending on the number of
    confirmations. For ``startup_grace_s`` a process wins a conflict about its own gossip address.
    """

    tick_s: float = 0.1
    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.3
    probe_total_timeout_s: float = 1.0
    indirect_probes: int = 3
    awareness_max_score: int = 8
    suspicion_scale: float = 1.2
    suspicion_min_s: float = 2.0
    suspicion_max_ratio: float = 3.0
    suspicion_confirmations: int = 3
    gossip_fanout: int = 2
    retransmit_factor: float = 4.0
    revision_retransmit_factor: float = 4.0
    gossip_bytes_per_s: float = 8_000.0
    gossip_burst_bytes: float = 60_000.0
    reply_bytes_per_s: float = 24_000.0
    reply_burst_bytes: float = 60_000.0
    max_record_datagrams: int = 16
    sync_interval_s: float = 2.0
    join_interval_s: float = 0.3
    dead_probe_interval_s: float = 5.0
    freeze_threshold_s: float = 3.0
    dead_retention_s: float = 3600.0
    startup_grace_s: float = 60.0
    max_datagram_age_s: float = 300.0

    def min_suspicion_timeout_s(self, members: int) -> float:
        """Return the minimum suspicion timeout; it grows with the logarithm of the fleet size."""
        scaled = self.suspicion_scale * math.log10(members + 1) * self.probe_total_timeout_s
        return max(self.suspicion_min_s, scaled)

    def retransmit_limit(self, factor: float, members: int) -> int:
        """Return how often one node sends one update (SWIM's lambda log n)."""
        return max(2, math.ceil(factor * math.log10(members + 1)))
