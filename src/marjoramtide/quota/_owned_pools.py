"""The pools of quotas that a node owns."""

import asyncio
import math

import attrs

from marjoramtide.clock import Clock
from marjoramtide.membership import Directory
from marjoramtide.policy.quota import QuotaPool, make_quota_pool
from marjoramtide.quota._messages import TokenGrant, TokenRequest
from marjoramtide.quota._owners import Owners
from marjoramtide.quota._questions import Questions
from marjoramtide.settings import SettingsView
from marjoramtide.telemetry import Metrics

# When nodes ask again whose workspace, or its limit, this node has not heard of yet.
UNKNOWN_MS = 300


@attrs.define(slots=True, eq=False, repr=False)
class OwnedPools:
    """Leases tokens to nodes of this data centre, and lends them to the owners in others.

    ``borrowing`` holds the loan that is being asked for, by workspace: requests that find a pool
    empty at the same time wait for the same one.
    """

    view: SettingsView
    directory: Directory
    owners: Owners
    questions: Questions
    clock: Clock
    metrics: Metrics
    pools: dict[str, QuotaPool] = attrs.Factory(dict)
    borrowing: dict[str, "asyncio.Task[None]"] = attrs.Factory(dict)

    async def grant(self, ask: TokenRequest) -> TokenGrant:
        """Lease tokens to a node of this data centre, with some of the others' where need be."""
        now = self.clock.monotonic()
        pool = self.find(ask.workspace, now)
        if pool is None:
            return TokenGrant(ask.number, 0, UNKNOWN_MS)
        pool.give_back(ask.returned, now)
        if not ask.wanted:
            return TokenGrant(ask.number, 0)
        granted = pool.lease(ask.wanted, now)
        if not granted and pool.can_borrow(now):
            await self._wait_for_loan(ask.workspace, pool)
            granted = pool.lease(ask.wanted, self.clock.monotonic())
        if granted:
            return TokenGrant(ask.number, granted)
        rate = self.view.workspaces.by_name[ask.workspace].requests_per_s
        retry_after_s = pool.retry_after_s(rate, self.clock.monotonic())
        return TokenGrant(ask.number, 0, round(retry_after_s * 1000))

    def lend(self, ask: TokenRequest) -> TokenGrant:
        """Lend tokens to the owner in another data centre."""
        now = self.clock.monotonic()
        pool = self.find(ask.workspace, now)
        return TokenGrant(ask.number, 0 if pool is None else pool.lend(ask.wanted, now))

    def find(self, name: str, now: float) -> QuotaPool | None:
        """Return this node's part of a workspace's quota, ``None`` where it isn't limited."""
        workspace = self.view.workspaces.by_name.get(name)
        if workspace is None or not workspace.is_limited:
            self.pools.pop(name, None)
            return None
        share = self.owners.share()
        rate, burst = workspace.requests_per_s * share, workspace.request_burst * share
        pool = self.pools.get(name)
        if pool is None:
            known_s = now - self.owners.settled_at
            pool = self.pools[name] = make_quota_pool(rate, burst, known_s, now)
        pool.configure(rate, burst, now)
        return pool

    async def _wait_for_loan(self, name: str, pool: QuotaPool) -> None:
        task = self.borrowing.get(name)
        if task is None:
            task = self.borrowing[name] = asyncio.create_task(self._borrow(name, pool))
            task.add_done_callback(lambda _: self.borrowing.pop(name, None))
        await asyncio.shield(task)

    async def _borrow(self, name: str, pool: QuotaPool) -> None:
        """Ask the owners in other data centres, all at once, each for its part."""
        own = self.directory.self_member
        others = [each for each in self.owners.owners_of(name) if each.node != own.node]
        asked_at = self.clock.monotonic()
        wanted = pool.loan_size(asked_at)
        part = math.ceil(wanted / max(1, len(others)))
        self.metrics.count("quota.loans_asked", len(others))
        grants = await asyncio.gather(
            *(self.questions.ask(each, name, part, loan=True) for each in others)
        )
        lent = sum(grant.granted for grant in grants if grant is not None)
        pool.add_loan(lent, wanted, asked_at)

    def owners_changed(self) -> None:
        """Give up the pools that another node owns by now."""
        own = self.directory.self_member.node
        for name in list(self.pools):
            if self.owners.owners_of(name)[0].node != own:
                del self.pools[name]

    def keep(self, limited: set[str]) -> None:
        """Forget the pools of all other workspaces."""
        for name in self.pools.keys() - limited:
            del self.pools[name]
