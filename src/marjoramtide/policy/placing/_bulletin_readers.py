"""Which nodes are told at once of a change of a backend server's speed."""

import math
from collections.abc import Collection, Iterator, Sequence
from itertools import cycle, islice

import xxhash

from marjoramtide.membership import Member

# Nodes of each service, in its own data centre and as many elsewhere, that a node is told of. With
# a third of the servers slow at a time, all of eight are once in five thousand times. In a fleet of
# 12 nodes everybody is told of everybody; among 300 with two services a node still hears of 32.
FOLLOWED = 8


def bulletin_readers(own: Member, members: Collection[Member]) -> list[Member]:
    """Return the members that follow ``own``, the same on each node that knows the same members.

    Failure: each change to each node grows with the square of the fleet: 7,000 datagrams a second
    among 75. Told to some drawn anew each time, every node knows old states of all, and which of
    them still hold none knows. Here each node follows the same ``FOLLOWED`` nodes of a service for
    as long as the fleet stays as it is: the readers of a node are a stretch of the ring of all
    nodes, and the stretches of a service's nodes together cover the ring ``FOLLOWED`` times.
    """
    centres: dict[str, list[Member]] = {}
    others = (member for member in members if member.node != own.node)
    for member in sorted((own, *others), key=ring_place):
        centres.setdefault(member.data_centre, []).append(member)
    tellers = [each for each in centres[own.data_centre] if each.service == own.service]
    elsewhere = math.ceil(FOLLOWED / max(1, len(centres) - 1))
    return [
        reader
        for centre, ring in centres.items()
        for reader in stretch(
            tellers.index(own) / len(tellers),
            (FOLLOWED if centre == own.data_centre else elsewhere) / len(tellers),
            ring,
        )
        if reader.node != own.node
    ]


def stretch(begin: float, share: float, ring: Sequence[Member]) -> Iterator[Member]:
    """Return the members from ``begin`` on, given as a part of the ring, up to a share of it."""
    count = min(len(ring), math.ceil(len(ring) * share))
    start = int(begin * len(ring))
    return islice(cycle(ring), start, start + count)


def ring_place(member: Member) -> int:
    """Return a member's place on the ring; names that count up must not make neighbours."""
    return xxhash.xxh64_intdigest(member.node.encode())
