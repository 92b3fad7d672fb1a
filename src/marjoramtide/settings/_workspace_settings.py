"""The settings of one workspace."""

import attrs


@attrs.frozen(slots=True)
class WorkspaceSettings:
    """What holds for the callers of one workspace, whichever route they use.

    ``key_digests`` are of the keys that open it. ``workspace_priority`` and ``workspace_rank`` go
    before those of the route; ``route`` and -1 leave them to it. All nodes together admit
    ``requests_per_s`` of its requests, and ``request_burst`` besides; 0 a second stands for no
    limit.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    workspace_priority: str = "route"  # route | urgent | routine
    workspace_rank: int = -1
    requests_per_s: float = 0.0
    request_burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        return self.requests_per_s > 0
