"""Tests whether real nodes enforce keys, revocations and quotas during faults."""

from bench.workspaces._plan import WorkspacePlan, draw_plan
from bench.workspaces._play import run_workspace_test
from bench.workspaces._tally import WorkspaceTally

__all__ = ["WorkspacePlan", "WorkspaceTally", "draw_plan", "run_workspace_test"]
