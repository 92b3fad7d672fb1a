"""Which nodes are told at once of a change of a backend server's speed."""

import math
from collections.abc import Collection, Iterator, Sequence
from itertools import cycle, islice

import xxhash

from marjoramtide.membership import Member

# Nodes of each service in its own data centre that a node is told of. With a third of the servers
# slow at a time, all of eight are once in five thousand times.
FOLLOWED = 8
# Of how many nodes of a service a node is told in all, where its own data centre has fewer. Those
# that are further away are asked only where the near ones are slow or full, so a data centre with
# as many needs to be told of none; in a fleet of 12 nodes everybody is told of everybody.
KNOWN = 2 * FOLLOWED


def bulletin_recipients(own: Member, members: Collection[Member]) -> list[Member]:
    """Return the members that follow ``own``, the same on each node that knows the same members.

    Failure: each change to each node grows with the square of the fleet: 7,000 datagrams a second
    among 75. Told to some drawn anew each time, every node knows old states of all, and which of
    them still hold none knows. Here each node follows the same nodes of a service for as long as
    the fleet stays as it is: the readers of a node are a stretch of the ring of all nodes, and the
    stretches of a service's nodes together cover the ring ``FOLLOWED`` times in their own data
    centre, and elsewhere as often as that data centre lacks nodes of its own.

    Told as often elsewhere, whatever the near ones are, news of pace were three quarters of the
    bytes that 60 idle nodes in five data centres sent between these (2,600 of 3,300 bytes a second
    and node, counted at their sockets).
    """
    centres: dict[str, list[Member]] = {}
    others = (member for member in members if member.node != own.node)
    for member in sorted((own, *others), key=ring_place):
        centres.setdefault(member.data_centre, []).append(member)
    tellers = {
        centre: [each for each in ring if each.service == own.service]
        for centre, ring in centres.items()
    }
    place = tellers[own.data_centre].index(own) / len(tellers[own.data_centre])
    return [
        reader
        for centre, ring in centres.items()
        for reader in stretch(place, followed(own.data_centre, centre, tellers), ring)
        if reader.node != own.node
    ]


def followed(teller: str, reader: str, tellers: dict[str, list[Member]]) -> float:
    """Return the share of the readers of one data centre that each teller of another one tells."""
    here = len(tellers[teller])
    if reader == teller:
        return FOLLOWED / here
    lacking = max(0, KNOWN - len(tellers[reader]))
    sources = sum(bool(each) for centre, each in tellers.items() if centre != reader)
    return math.ceil(lacking / sources) / here


def stretch(begin: float, share: float, ring: Sequence[Member]) -> Iterator[Member]:
    """Return the members from ``begin`` on, given as a part of the ring, up to a share of it."""
    count = min(len(ring), math.ceil(len(ring) * share))
    start = int(begin * len(ring))
    return islice(cycle(ring), start, start + count)


def ring_place(member: Member) -> int:
    """Return a member's place on the ring; names that count up must not make neighbours."""
    return xxhash.xxh64_intdigest(member.node.encode())
