"""The service of a node that enforces the quotas of workspaces."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs
import structlog

from marjoramtide.checked import MalformedError
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, Request
from marjoramtide.ingress import QuotaLease, RequestQuota
from marjoramtide.membership import Directory, Member
from marjoramtide.policy.quota import QuotaAccount
from marjoramtide.quota._messages import TokenGrant, TokenRequest, unpack_quota_message
from marjoramtide.quota._owned_pools import OwnedPools
from marjoramtide.quota._quota_owners import QuotaOwners
from marjoramtide.quota._token_requester import Publish, TokenRequester
from marjoramtide.quota._unresponsive_owners import UnresponsiveOwners
from marjoramtide.settings import SettingsView, WorkspaceSettings
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

STEP = "quota.admit"
# When callers should retry if no owner responds, and the minimum if other requests took the tokens.
NO_OWNER_RETRY_AFTER_MS = 300
MIN_RETRY_AFTER_MS = 50
# Retry times are spread up to this factor, so that callers rejected together don't retry together.
RETRY_AFTER_JITTER = 1.3
# Lease requests that one request waits for, if others take the tokens that it waited for.
MAX_LEASE_ATTEMPTS = 3
# How long unused tokens wait for the next lease request that can return them.
RETURN_DELAY_S = 0.2


@attrs.define(slots=True, eq=False, repr=False)
class TokenLease(QuotaLease):
    """A token taken from an account of this node; ``leased_at`` is of the monotonic clock."""

    service: "QuotaService"
    workspace: str
    account: QuotaAccount
    leased_at: float

    def refund(self) -> None:
        self.service.give_back(self.workspace, self.account, self.leased_at)


@attrs.define(slots=True, eq=False, repr=False)
class QuotaService(RequestQuota):
    """Leases tokens for requests that enter at this node, and grants tokens to other nodes."""

    view: SettingsView
    directory: Directory
    owners: QuotaOwners
    requester: TokenRequester
    pools: OwnedPools
    clock: Clock
    rng: random.Random
    metrics: Metrics
    publish: Publish
    accounts: dict[str, QuotaAccount] = attrs.Factory(dict)
    lease_tasks: dict[str, "asyncio.Task[None]"] = attrs.Factory(dict)
    waiting_requests: dict[str, int] = attrs.Factory(dict)
    unresponsive_owners: UnresponsiveOwners = attrs.Factory(UnresponsiveOwners)
    request_tasks: set["asyncio.Task[None]"] = attrs.Factory(set)

    # Requests that enter at this node

    async def admit(self, request: Request) -> QuotaLease | None:
        workspace = self.view.workspaces.by_name.get(request.workspace)
        if workspace is None or request.is_call:
            return None
        account = self.accounts.setdefault(workspace.name, QuotaAccount())
        account.demand.note(1, self.clock.monotonic())
        lease = None
        if workspace.is_limited:
            leased_at = await self._take_token(workspace, account)
            lease = TokenLease(self, workspace.name, account, leased_at)
        account.admitted += 1
        return lease

    async def _take_token(self, workspace: WorkspaceSettings, account: QuotaAccount) -> float:
        """Take a token; return the time, in seconds of the monotonic clock."""
        for _ in range(MAX_LEASE_ATTEMPTS):
            now = self.clock.monotonic()
            if account.spend(now):
                return now
            if now < account.ask_again_at:
                raise self._limited_error(workspace, account, now)
            await self._wait_for_lease(workspace, account)
        now = self.clock.monotonic()
        if account.spend(now):
            return now
        raise self._limited_error(workspace, account, now)

    def give_back(self, name: str, account: QuotaAccount, leased_at: float) -> None:
        """Return the token of a request that did not run."""
        account.give_back(leased_at, self.clock.monotonic())
        if account.returned == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(RETURN_DELAY_S, self._return_tokens, name, account)

    def _limited_error(
        self, workspace: WorkspaceSettings, account: QuotaAccount, now: float
    ) -> NotRunError:
        self.metrics.count("quota.refused")
        account.refusals += 1
        wait_ms = max(MIN_RETRY_AFTER_MS, (account.retry_at - now) * 1000)
        return NotRunError(
            ErrorCode.WORKSPACE_LIMITED,
            f"{workspace.name} has used up its {workspace.requests_per_s:g} requests a second",
            step=STEP,
            retry_after_ms=round(wait_ms * self.rng.uniform(1, RETRY_AFTER_JITTER)),
        )

    async def _wait_for_lease(self, workspace: WorkspaceSettings, account: QuotaAccount) -> None:
        """Wait for one lease request, which all waiting requests of the workspace share."""
        name = workspace.name
        self.waiting_requests[name] = self.waiting_requests.get(name, 0) + 1
        try:
            task = self.lease_tasks.get(name)
            if task is None:
                task = self.lease_tasks[name] = asyncio.create_task(
                    self._request_lease(workspace, account)
                )
                task.add_done_callback(lambda done: self._lease_finished(name, done))
            # Cancelling one caller must not cancel the lease request that others wait for.
            await asyncio.shield(task)
        finally:
            self.waiting_requests[name] -= 1

    def _lease_finished(self, name: str, task: "asyncio.Task[None]") -> None:
        self.lease_tasks.pop(name, None)
        if not task.cancelled():
            # Retrieved even if all waiting requests were cancelled.
            task.exception()

    async def _request_lease(self, workspace: WorkspaceSettings, account: QuotaAccount) -> None:
        """Request tokens from the owners in turn until one responds.

        Raises ``NotRunError`` if none does.
        """
        # One event loop iteration, so that requests that arrive together share the lease request.
        await asyncio.sleep(0)
        name = workspace.name
        for owner in self.owners.owners_of(name):
            requested_at = self.clock.monotonic()
            if self.unresponsive_owners.is_unresponsive(owner.peer_address, requested_at):
                continue
            requested = account.wanted(self.waiting_requests.get(name, 0), requested_at)
            returned = account.take_returned()
            grant = await self._request_tokens(owner, name, requested, returned)
            self.unresponsive_owners.record(
                owner.peer_address, grant is not None, self.clock.monotonic()
            )
            if grant is None:
                self.metrics.count("quota.unanswered")
                continue
            account.add_lease(grant.granted, requested_at)
            if not grant.granted:
                account.record_refusal(grant.retry_after_ms / 1000, self.clock.monotonic())
            return
        raise NotRunError(
            ErrorCode.QUOTA_UNKNOWN,
            f"no owner of the quota of {name} responds",
            step=STEP,
            retry_after_ms=round(NO_OWNER_RETRY_AFTER_MS * self.rng.uniform(1, RETRY_AFTER_JITTER)),
        )

    async def _request_tokens(
        self, owner: Member, workspace: str, requested: int, returned: int
    ) -> TokenGrant | None:
        if owner.node == self.directory.self_member.node:
            return await self.pools.grant(TokenRequest(0, workspace, requested, returned))
        self.metrics.count("quota.asked")
        return await self.requester.request_tokens(owner, workspace, requested, returned)

    def _return_tokens(self, name: str, account: QuotaAccount) -> None:
        """Return unused tokens that no lease request has included."""
        returned = account.take_returned()
        if not returned:
            return
        owner = self.owners.owners_of(name)[0]
        pool = None
        if owner.node == self.directory.self_member.node:
            pool = self.pools.find(name, self.clock.monotonic())
        if pool is not None:
            pool.give_back(returned, self.clock.monotonic())
        else:
            self.publish(TokenRequest(0, name, 0, returned).pack(), [owner])

    # Messages of other nodes

    def handle_bulletin(self, member: Member, fields: list[Any]) -> None:
        """Handle a quota bulletin of another node."""
        try:
            message = unpack_quota_message(fields)
        except MalformedError as error:
            log.warning(
                "quota.malformed",
                code=ErrorCode.BAD_FRAME,
                step="quota.take",
                peer=member.node,
                reason=str(error),
            )
            return
        if isinstance(message, TokenGrant):
            self.requester.handle_grant(message)
            return
        task = asyncio.create_task(self._handle_request(member, message))
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)

    async def _handle_request(self, member: Member, request: TokenRequest) -> None:
        grant = self.pools.lend(request) if request.is_loan else await self.pools.grant(request)
        if request.requested:
            self.publish(grant.pack(), [member])

    # Changes of members and settings

    def members_changed(self, member: Member) -> None:
        """Handle a member that has joined, left or changed."""
        if self.owners.member_changed(member):
            self.pools.drop_disowned()

    def settings_changed(self, revision: int) -> None:
        """Remove the state of workspaces that are gone or no longer limited."""
        self.pools.retain({each.name for each in self.view.workspaces if each.is_limited})
        for name in self.accounts.keys() - self.view.workspaces.by_name.keys():
            del self.accounts[name]

    def usage(self, name: str) -> dict[str, Any]:
        """Return the demand of a workspace at this node, and how many were admitted and refused."""
        account = self.accounts.get(name, QuotaAccount())
        return {
            "asked_per_s": round(account.demand.rate(self.clock.monotonic()), 1),
            "admitted": account.admitted,
            "refused": account.refusals,
        }


def make_quota_service(
    view: SettingsView,
    directory: Directory,
    publish: Publish,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
    announced_count: Callable[[], int] = lambda: 1,
) -> QuotaService:
    """Return the quota service of a node, which owns no pool yet.

    ``announced_count`` returns how many nodes have announced themselves.
    """
    owners = QuotaOwners(directory, clock, announced_count=announced_count)
    requester = TokenRequester(publish, rng)
    service = QuotaService(
        view,
        directory,
        owners,
        requester,
        OwnedPools(view, directory, owners, requester, clock, metrics),
        clock,
        rng,
        metrics,
        publish,
    )
    directory.on_change(service.members_changed)
    view.on_change(service.settings_changed)
    return service
