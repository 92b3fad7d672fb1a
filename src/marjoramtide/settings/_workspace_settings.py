"""The settings of one workspace."""

import attrs


@attrs.frozen(slots=True)
class WorkspaceSettings:
    """The settings that apply to the callers of one workspace on every route.

    ``key_digests`` are the digests of its API keys. ``workspace_priority`` and ``workspace_rank``
    override those of the route; ``route`` and -1 leave them to the route. ``requests_per_s`` is the
    limit of all nodes together, with a burst of ``request_burst``; 0 stands for no limit.
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
