"""Counters of the gossip protocol."""

from collections import Counter

import attrs

from marjoramtide.membership._packet_error import DropCode


@attrs.define(slots=True, eq=False, repr=False)
class GossipCounters:
    """Totals since the start; ``dropped`` counts the dropped datagrams by reason."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    probes: int = 0
    failed_probes: int = 0
    syncs: int = 0
    refutations: int = 0
    dropped: Counter[DropCode] = attrs.field(factory=Counter)
