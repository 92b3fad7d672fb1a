"""The plan of a test with crashing processes."""

import attrs


@attrs.frozen(slots=True)
class CrashPlan:
    """A mesh of ``nodes`` nodes of one service; callers use all of them.

    From second 1 on, ``deadly_per_s`` lookups per second crash the process that serves them: the
    node (``crashes_nodes``) ``crash_after_s`` seconds after the start of the run, or its backend
    server at once. The process restarts after ``restart_after_s``. Every ``kill_every_s`` seconds
    (0: never) a node is killed while it serves the common path, which is requested
    ``common_per_s`` times a second. ``others_per_s`` lookups per second have a unique path each.
    """

    nodes: int = 9
    seconds: float = 25.0
    deadly_per_s: float = 3.0
    crashes_nodes: bool = True
    crash_after_s: float = 0.035
    restart_after_s: float = 1.5
    kill_every_s: float = 0.0
    common_per_s: float = 20.0
    others_per_s: float = 60.0
    service_ms: float = 150.0
    seed: int = 1
