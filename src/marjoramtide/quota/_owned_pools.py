"""The quota pools that a node owns."""

import asyncio
import math

import attrs

from marjoramtide.clock import Clock
from marjoramtide.membership import Directory
from marjoramtide.policy.quota import QuotaPool, make_quota_pool
from marjoramtide.quota._messages import TokenGrant, TokenRequest
from marjoramtide.quota._quota_owners import QuotaOwners
from marjoramtide.quota._token_requester import TokenRequester
from marjoramtide.settings import SettingsView
from marjoramtide.telemetry import Metrics

# When to retry if this node does not know the workspace, or its limit, yet.
UNKNOWN_WORKSPACE_RETRY_AFTER_MS = 300


@attrs.define(slots=True, eq=False, repr=False)
class OwnedPools:
    """Leases tokens to nodes of this data centre, and lends some to owners in others.

    ``loan_tasks`` are the loans being requested, by workspace: requests that find a pool empty at
    the same time wait for the same loan.
    """

    view: SettingsView
    directory: Directory
    owners: QuotaOwners
    requester: TokenRequester
    clock: Clock
    metrics: Metrics
    pools: dict[str, QuotaPool] = attrs.Factory(dict)
    loan_tasks: dict[str, "asyncio.Task[None]"] = attrs.Factory(dict)

    async def grant(self, request: TokenRequest) -> TokenGrant:
        """Lease tokens to a node of this data centre, with a loan if needed."""
        now = self.clock.monotonic()
        pool = self.find(request.workspace, now)
        if pool is None:
            return TokenGrant(request.correlation_id, 0, UNKNOWN_WORKSPACE_RETRY_AFTER_MS)
        pool.give_back(request.returned, now)
        if not request.requested:
            return TokenGrant(request.correlation_id, 0)
        granted = pool.lease(request.requested, now)
        if not granted and pool.can_borrow(now):
            await self._wait_for_loan(request.workspace, pool)
            granted = pool.lease(request.requested, self.clock.monotonic())
        if granted:
            return TokenGrant(request.correlation_id, granted)
        rate = self.view.workspaces.by_name[request.workspace].requests_per_s
        retry_after_s = pool.retry_after_s(rate, self.clock.monotonic())
        return TokenGrant(request.correlation_id, 0, round(retry_after_s * 1000))

    def lend(self, request: TokenRequest) -> TokenGrant:
        """Lend tokens to the owner in another data centre."""
        now = self.clock.monotonic()
        pool = self.find(request.workspace, now)
        return TokenGrant(
            request.correlation_id, 0 if pool is None else pool.lend(request.requested, now)
        )

    def find(self, name: str, now: float) -> QuotaPool | None:
        """Return the pool of a workspace's quota, ``None`` if the workspace is not limited."""
        workspace = self.view.workspaces.by_name.get(name)
        if workspace is None or not workspace.is_limited:
            self.pools.pop(name, None)
            return None
        share = self.owners.share()
        rate, burst = workspace.requests_per_s * share, workspace.request_burst * share
        pool = self.pools.get(name)
        if pool is None:
            known_s = now - self.owners.members_changed_at
            pool = self.pools[name] = make_quota_pool(rate, burst, known_s, now)
        pool.configure(rate, burst, now)
        return pool

    async def _wait_for_loan(self, name: str, pool: QuotaPool) -> None:
        task = self.loan_tasks.get(name)
        if task is None:
            task = self.loan_tasks[name] = asyncio.create_task(self._request_loan(name, pool))
            task.add_done_callback(lambda _: self.loan_tasks.pop(name, None))
        await asyncio.shield(task)

    async def _request_loan(self, name: str, pool: QuotaPool) -> None:
        """Request an equal share of the loan from each owner in another data centre."""
        own = self.directory.self_member
        other_owners = [owner for owner in self.owners.owners_of(name) if owner.node != own.node]
        requested_at = self.clock.monotonic()
        requested = pool.loan_size(requested_at)
        share = math.ceil(requested / max(1, len(other_owners)))
        self.metrics.count("quota.loans_asked", len(other_owners))
        grants = await asyncio.gather(
            *(
                self.requester.request_tokens(owner, name, share, is_loan=True)
                for owner in other_owners
            )
        )
        lent = sum(grant.granted for grant in grants if grant is not None)
        pool.add_loan(lent, requested, requested_at)

    def drop_disowned(self) -> None:
        """Remove the pools that another node owns now."""
        own = self.directory.self_member.node
        for name in list(self.pools):
            if self.owners.owners_of(name)[0].node != own:
                del self.pools[name]

    def retain(self, limited_workspaces: set[str]) -> None:
        """Remove the pools of all other workspaces."""
        for name in self.pools.keys() - limited_workspaces:
            del self.pools[name]
