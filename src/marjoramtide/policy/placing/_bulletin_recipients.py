"""Selection of the nodes that are notified when a backend server's speed changes."""

import math
from collections.abc import Collection, Iterator, Sequence
from itertools import cycle, islice

import xxhash

from marjoramtide.membership import Member

# How many nodes of each service in its own data centre a node gets bulletins from. With a third of
# the servers slow at a time, all of eight are slow once in five thousand times.
SENDERS_PER_SERVICE = 8
# How many nodes of a service a node gets bulletins from in total, where its own data centre has
# fewer. Remote nodes are chosen only when the near ones are slow or full, so a data centre that has
# this many needs no remote bulletins; in a fleet of 12 nodes every node notifies every other.
TOTAL_SENDERS_PER_SERVICE = 2 * SENDERS_PER_SERVICE


def bulletin_recipients(sender: Member, members: Collection[Member]) -> list[Member]:
    """Return the members that get the bulletins of ``sender``.

    The result is the same on every node that knows the same members. Sending each change to every
    node would grow with the square of the fleet: 7,000 datagrams a second among 75 nodes. Sending
    to a new random subset each time would leave every node with stale states of all others and no
    way to tell which still hold. Here a node gets bulletins from the same nodes of a service for as
    long as the fleet is unchanged: the recipients of a sender are a contiguous range of the hash
    ring of all nodes, and the ranges of a service's nodes together cover the ring
    ``SENDERS_PER_SERVICE`` times in their own data centre, and in each other data centre as often
    as that one lacks nodes of the service.

    With the same coverage in all data centres, however many nodes of the service they have,
    bulletins made up three quarters of the bytes that 60 idle nodes in five data centres exchanged
    (2,600 of 3,300 bytes a second and node, counted at their sockets).
    """
    centres: dict[str, list[Member]] = {}
    others = (member for member in members if member.node != sender.node)
    for member in sorted((sender, *others), key=ring_key):
        centres.setdefault(member.data_centre, []).append(member)
    senders = {
        centre: [each for each in ring if each.service == sender.service]
        for centre, ring in centres.items()
    }
    begin = senders[sender.data_centre].index(sender) / len(senders[sender.data_centre])
    return [
        recipient
        for centre, ring in centres.items()
        for recipient in ring_range(begin, ring_share(sender.data_centre, centre, senders), ring)
        if recipient.node != sender.node
    ]


def ring_share(sender: str, recipient: str, senders: dict[str, list[Member]]) -> float:
    """Return the share of one data centre's nodes that each sender in another one notifies."""
    count = len(senders[sender])
    if recipient == sender:
        return SENDERS_PER_SERVICE / count
    missing = max(0, TOTAL_SENDERS_PER_SERVICE - len(senders[recipient]))
    sources = sum(bool(each) for centre, each in senders.items() if centre != recipient)
    return math.ceil(missing / sources) / count


def ring_range(begin: float, share: float, ring: Sequence[Member]) -> Iterator[Member]:
    """Return the members from ``begin`` on, given as a part of the ring, up to a share of it."""
    count = min(len(ring), math.ceil(len(ring) * share))
    start = int(begin * len(ring))
    return islice(cycle(ring), start, start + count)


def ring_key(member: Member) -> int:
    """Return the sort key on the ring, hashed so that consecutive names aren't neighbours."""
    return xxhash.xxh64_intdigest(member.node.encode())
