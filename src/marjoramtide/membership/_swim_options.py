"""The constants of the protocol."""

import math

import attrs


@attrs.frozen(slots=True)
class SwimOptions:
    """Periods, limits and budgets; times in seconds, sizes in bytes.

    Every cost is per node and does not grow with the fleet: one probe each ``probe_interval_s``,
    gossip and answers to pulls within a budget of bytes.
    """

    tick_s: float = 0.1
    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.3
    probe_limit_s: float = 1.0
    indirect_probes: int = 3
    awareness_limit: int = 8
    suspicion_factor: float = 1.2
    suspicion_floor_s: float = 2.0
    suspicion_spread: float = 3.0
    suspicion_confirmations: int = 3
    gossip_fanout: int = 2
    gossip_copies: float = 4.0
    revision_copies: float = 4.0
    gossip_bytes_per_s: float = 8_000.0
    gossip_burst_bytes: float = 60_000.0
    answer_bytes_per_s: float = 24_000.0
    answer_burst_bytes: float = 60_000.0
    sync_datagrams: int = 16
    sync_interval_s: float = 2.0
    join_interval_s: float = 0.3
    dead_probe_interval_s: float = 5.0
    freeze_gap_s: float = 3.0
    forget_s: float = 3600.0
    young_s: float = 60.0
    time_window_s: float = 300.0

    def suspicion_minimum_s(self, members: int) -> float:
        """Return the shortest time a suspicion lasts; it grows with the logarithm of the fleet."""
        scaled = self.suspicion_factor * math.log10(members + 1) * self.probe_limit_s
        return max(self.suspicion_floor_s, scaled)

    def copies(self, factor: float, members: int) -> int:
        """Return how often one node passes on one piece of news."""
        return max(2, math.ceil(factor * math.log10(members + 1)))
