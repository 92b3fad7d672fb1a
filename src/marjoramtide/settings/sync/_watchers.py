"""Which nodes watch the settings in the store."""

import heapq
from collections.abc import Iterable

import xxhash

from marjoramtide.membership import Member, MemberState


def choose_watchers(members: Iterable[Member], count: int) -> list[str]:
    """Return the ``count`` nodes with the highest rendezvous hashes (Thaler and Ravishankar, 1996).

    Every node computes this from its own directory, without asking anyone. Where directories differ
    for a moment there are a few more or fewer watchers; neither harms, since a revision is applied
    only if it is higher, and gossip brings what a missing watcher would have.
    """
    able = (
        member.node
        for member in members
        if member.state not in (MemberState.LEAVING, MemberState.DEAD)
    )
    return heapq.nlargest(count, able, key=lambda node: xxhash.xxh64_intdigest(node.encode()))
