"""Selection of the nodes that watch the settings in the store."""

import heapq
from collections.abc import Iterable

import xxhash

from marjoramtide.membership import Member, MemberState


def choose_watchers(members: Iterable[Member], count: int) -> list[str]:
    """Return the ``count`` nodes with the highest rendezvous hashes (Thaler and Ravishankar, 1996).

    Every node computes this from its own directory, without coordination. While directories differ
    there may be a few more or fewer watchers. Neither does harm: a revision is applied only if it
    is newer, and gossip reports what a missing watcher would have seen.
    """
    candidates = (
        member.node
        for member in members
        if member.state not in (MemberState.LEAVING, MemberState.DEAD)
    )
    return heapq.nlargest(count, candidates, key=lambda node: xxhash.xxh64_intdigest(node.encode()))
