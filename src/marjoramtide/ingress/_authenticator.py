"""Who calls: the workspace of a request, by its key or by the run that made it."""

import attrs
from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import NotRunError, Request
from marjoramtide.ingress._caller_key import (
    STEP,
    read_caller_key,
    unauthenticated,
    without_key,
)
from marjoramtide.ingress._calls import NestedCalls
from marjoramtide.settings import (
    RouteSettings,
    SettingsView,
    WorkspaceSettings,
    key_digest,
    key_fingerprint,
)

# When a caller whose key can't be verified should come back: this node asks for the newest settings
# several times in this time.
VERIFIED_SOON_MS = 400


@attrs.define(slots=True, eq=False, repr=False)
class Authenticator:
    """Names the workspace of each request, or refuses it, before its body is read."""

    view: SettingsView
    scheme: str
    calls: NestedCalls = attrs.field(factory=NestedCalls)

    def admit(self, http: web.BaseRequest, request: Request, settings: RouteSettings) -> Request:
        """Return the request as the other nodes and the backend server are to see it.

        Raises ``unauthenticated``, and ``NotRunError`` with ``key-unverified`` where a good key, or
        an unknown one, may have become the other since this node last heard of the settings.
        """
        call = self.calls.inherit_from_parent(request)
        if call is not None:
            return call
        needs_key = settings.authentication == "key"
        if not needs_key and not self.view.workspaces:
            return request
        workspace = self.holder(http, request, needs_key)
        request = attrs.evolve(request, headers=without_key(request))
        return request if workspace is None else self.of_workspace(request, workspace)

    def of_workspace(self, request: Request, workspace: WorkspaceSettings) -> Request:
        """Return a request with the name and the priority of its workspace."""
        urgent, rank = request.urgent, request.rank
        if workspace.workspace_priority != "route":
            urgent = workspace.workspace_priority == "urgent"
        if workspace.workspace_rank >= 0:
            rank = workspace.workspace_rank
        return attrs.evolve(request, workspace=workspace.name, urgent=urgent, rank=rank)

    def holder(
        self, http: web.BaseRequest, request: Request, needs_key: bool
    ) -> WorkspaceSettings | None:
        """Return the workspace that the key of a request opens."""
        if not needs_key:
            return self.named_by_the_way(http)
        key = read_caller_key(http, self.scheme)
        if not key:
            if self.calls.may_be_of_a_run(request):
                raise unverified("the run that made this call is not known here")
            raise unauthenticated("no key")
        workspace = self.view.workspaces.holder(key)
        if workspace is None:
            if not self.view.knows_all_keys:
                raise unverified("this node may not know this key yet")
            raise unauthenticated(f"unknown key {key_fingerprint(key_digest(key))}")
        if not self.view.vouches_for_keys:
            raise unverified("this node can't know whether this key was taken away")
        return workspace

    def named_by_the_way(self, http: web.BaseRequest) -> WorkspaceSettings | None:
        """Return whose key comes with a request that needs none."""
        try:
            key = read_caller_key(http, self.scheme)
        except MarjoramtideError:
            return None
        known = self.view.workspaces.holder(key) if key else None
        return known if self.view.vouches_for_keys else None


def unverified(reason: str) -> NotRunError:
    """Return the error for a caller of whom this node can't say whether it is known."""
    return NotRunError(ErrorCode.KEY_UNVERIFIED, reason, step=STEP, retry_after_ms=VERIFIED_SOON_MS)
