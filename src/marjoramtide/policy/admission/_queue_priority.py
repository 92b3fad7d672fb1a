"""Where a request stands among others, before it is asked when each is due."""

import attrs

from marjoramtide.policy._call_profile import CallProfile

# What one rank counts for in the order of a queue, in seconds: above any deadline, so that a lower
# rank always goes first. By 50 ms, as before, routine requests that had waited went before urgent
# ones that had just come, and under more than could be done fewer of the urgent ones were served.
RANK_STEP_S = 1000.0
# Puts the requests of a workspace that has had its share behind the others of their rank, in
# seconds: above any deadline, below a step of ranks.
OVER_SHARE_S = 500.0
# Puts what can no longer meet its goal behind all that can, in seconds; above any rank's.
AFTER_ALL_OTHERS_S = 10_000_000.0


@attrs.frozen(slots=True, order=True)
class QueuePriority:
    """What is smaller goes first.

    ``late`` where the goal can no longer be met, ``over_share`` where the workspace has had more of
    the server than a fair share of what there is.
    """

    late: bool
    routine: bool
    rank: int
    over_share: bool

    def order(self, due: float) -> float:
        """Return by what such a request is queued in its class, the smallest first."""
        order = due + self.rank * RANK_STEP_S
        if self.over_share:
            order += OVER_SHARE_S
        return order + AFTER_ALL_OTHERS_S if self.late else order


def priority_of(profile: CallProfile, due: float, over_share: bool) -> QueuePriority:
    """Return the standing of a request that is due at a time.

    A call stands for the request that waits for it, which holds a slot elsewhere: it is never held
    back for its workspace.
    """
    late = due > profile.goal
    return QueuePriority(late, not profile.urgent, profile.rank, over_share and not profile.is_call)
