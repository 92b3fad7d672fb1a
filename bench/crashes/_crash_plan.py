"""What one play of ending processes consists of."""

import attrs


@attrs.frozen(slots=True)
class CrashPlan:
    """A mesh of ``nodes`` nodes of one service, whose callers enter by any of them.

    From second 1 on, ``deadly_per_s`` lookups a second end what serves them: the node
    (``ends_nodes``) ``dies_after_s`` seconds after the run begins, or its backend server at once.
    It is back after ``back_after_s``. Every ``kill_every_s`` seconds (0: never) a node is killed
    while it runs the common path that everybody asks for ``common_per_s`` times a second.
    ``others_per_s`` lookups a second have a path of their own each.
    """

    nodes: int = 9
    seconds: float = 25.0
    deadly_per_s: float = 3.0
    ends_nodes: bool = True
    dies_after_s: float = 0.035
    back_after_s: float = 1.5
    kill_every_s: float = 0.0
    common_per_s: float = 20.0
    others_per_s: float = 60.0
    service_ms: float = 150.0
    seed: int = 1
