"""Whether keys, the end of keys and quotas hold over real nodes amid faults."""

from bench.workspaces._plan import WorkspacePlan, draw_plan
from bench.workspaces._play import play_workspaces
from bench.workspaces._tally import WorkspaceTally

__all__ = ["WorkspacePlan", "WorkspaceTally", "draw_plan", "play_workspaces"]
