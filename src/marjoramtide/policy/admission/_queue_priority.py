"""The priority of a request in the queue, before its due time."""

import attrs

from marjoramtide.policy._call_profile import CallProfile

# The weight of one rank in the sort key of a queue, in seconds: above any deadline, so that a lower
# rank always goes first. With 50 ms, routine requests that had waited went before urgent ones that
# had just arrived, and under overload fewer of the urgent ones were served.
RANK_STEP_S = 1000.0
# Puts the requests of a workspace that has used up its share behind the others of their rank, in
# seconds: above any deadline, below a step of ranks.
OVER_SHARE_S = 500.0
# Puts requests that can no longer meet their goal behind all that can, in seconds: above the value
# of any rank.
LATE_S = 10_000_000.0


@attrs.frozen(slots=True, order=True)
class QueuePriority:
    """The priority of a request; smaller values go first.

    ``late`` is true if the goal can no longer be met, ``over_share`` if the workspace has used more
    than its fair share of the server.
    """

    late: bool
    routine: bool
    rank: int
    over_share: bool

    def sort_key(self, due: float) -> float:
        """Return the sort key of a request within the queue of its class, the smallest first."""
        sort_key = due + self.rank * RANK_STEP_S
        if self.over_share:
            sort_key += OVER_SHARE_S
        return sort_key + LATE_S if self.late else sort_key


def priority_of(profile: CallProfile, due: float, over_share: bool) -> QueuePriority:
    """Return the priority of a request that is due at a time.

    A call acts for the request that waits for it, which holds a slot elsewhere, so it is never
    delayed because of its workspace.
    """
    late = due > profile.goal
    return QueuePriority(late, not profile.urgent, profile.rank, over_share and not profile.is_call)
