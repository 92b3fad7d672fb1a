"""Authentication of callers by API key, or by the run that made the request."""

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
from marjoramtide.ingress._nested_calls import NestedCalls
from marjoramtide.settings import (
    RouteSettings,
    SettingsView,
    WorkspaceSettings,
    key_digest,
    key_fingerprint,
)

# The Retry-After for a caller whose key can't be verified. This node asks for the newest settings
# several times in this period.
UNVERIFIED_RETRY_AFTER_MS = 400


@attrs.define(slots=True, eq=False, repr=False)
class Authenticator:
    """Determines the workspace of each request, or refuses it, before its body is read."""

    view: SettingsView
    scheme: str
    nested_calls: NestedCalls = attrs.field(factory=NestedCalls)

    def admit(
        self, http_request: web.BaseRequest, request: Request, settings: RouteSettings
    ) -> Request:
        """Return the request as other nodes and the backend server are to receive it.

        Raises ``unauthenticated``, or ``NotRunError`` with ``key-unverified`` if a valid key may
        have been revoked, or an unknown one added, since this node last learned of the settings.
        """
        call = self.nested_calls.inherit_from_parent(request)
        if call is not None:
            return call
        needs_key = settings.authentication == "key"
        if not needs_key and not self.view.workspaces:
            return request
        workspace = self.find_workspace(http_request, request, needs_key)
        request = attrs.evolve(request, headers=without_key(request))
        return request if workspace is None else self.with_workspace(request, workspace)

    def with_workspace(self, request: Request, workspace: WorkspaceSettings) -> Request:
        """Return a request with the name and the priority of its workspace."""
        urgent, rank = request.urgent, request.rank
        if workspace.workspace_priority != "route":
            urgent = workspace.workspace_priority == "urgent"
        if workspace.workspace_rank >= 0:
            rank = workspace.workspace_rank
        return attrs.evolve(request, workspace=workspace.name, urgent=urgent, rank=rank)

    def find_workspace(
        self, http_request: web.BaseRequest, request: Request, needs_key: bool
    ) -> WorkspaceSettings | None:
        """Return the workspace that the request's key belongs to."""
        if not needs_key:
            return self.find_optional_workspace(http_request)
        key = read_caller_key(http_request, self.scheme)
        if not key:
            if self.nested_calls.may_have_parent(request):
                raise unverified("the run that made this call is not known to this node")
            raise unauthenticated("no key")
        workspace = self.view.workspaces.find_by_key(key)
        if workspace is None:
            if not self.view.can_reject_unknown_keys:
                raise unverified("this node may not have learned of this key yet")
            raise unauthenticated(f"unknown key {key_fingerprint(key_digest(key))}")
        if not self.view.can_accept_keys:
            raise unverified("this node can't know whether this key was revoked")
        return workspace

    def find_optional_workspace(self, http_request: web.BaseRequest) -> WorkspaceSettings | None:
        """Return the workspace of the key that a request carries on a route that needs none."""
        try:
            key = read_caller_key(http_request, self.scheme)
        except MarjoramtideError:
            return None
        known = self.view.workspaces.find_by_key(key) if key else None
        return known if self.view.can_accept_keys else None


def unverified(reason: str) -> NotRunError:
    """Return the error for a caller whose key this node can neither accept nor reject."""
    return NotRunError(
        ErrorCode.KEY_UNVERIFIED,
        reason,
        step=STEP,
        retry_after_ms=UNVERIFIED_RETRY_AFTER_MS,
    )
