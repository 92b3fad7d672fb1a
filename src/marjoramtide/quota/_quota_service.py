"""Quotas of workspaces as a running part of a node."""

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
from marjoramtide.quota._owners import Owners
from marjoramtide.quota._questions import Publish, Questions
from marjoramtide.quota._silent_owners import SilentOwners
from marjoramtide.settings import SettingsView, WorkspaceSettings
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

STEP = "quota.admit"
# When callers come back where no owner answers, and at the earliest where others took the tokens.
UNKNOWN_MS = 300
LEAST_WAIT_MS = 50
# Callers that are refused at one moment come back over this multiple of the time.
SPREAD = 1.3
# How often a request asks again where others have taken the tokens that it waited for.
MOST_ASKS = 3
# How long tokens that were not used wait for the next question that takes them back, in seconds.
RETURN_AFTER_S = 0.2


@attrs.define(slots=True, eq=False, repr=False)
class TokenLease(QuotaLease):
    """A token that was taken from an account of this node, at a time of the monotonic clock."""

    quotas: "QuotaService"
    workspace: str
    account: QuotaAccount
    leased_at: float

    def refund(self) -> None:
        self.quotas.give_back(self.workspace, self.account, self.leased_at)


@attrs.define(slots=True, eq=False, repr=False)
class QuotaService(RequestQuota):
    """Leases tokens for the requests that enter here, and answers other nodes from its pools."""

    view: SettingsView
    directory: Directory
    owners: Owners
    questions: Questions
    pools: OwnedPools
    clock: Clock
    rng: random.Random
    metrics: Metrics
    publish: Publish
    accounts: dict[str, QuotaAccount] = attrs.Factory(dict)
    asking: dict[str, "asyncio.Task[None]"] = attrs.Factory(dict)
    waiting: dict[str, int] = attrs.Factory(dict)
    silence: SilentOwners = attrs.Factory(SilentOwners)
    answering: set["asyncio.Task[None]"] = attrs.Factory(set)

    # Requests that enter here

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
        """Take a token; return when, in seconds of the monotonic clock."""
        for _ in range(MOST_ASKS):
            now = self.clock.monotonic()
            if account.spend(now):
                return now
            if now < account.ask_again_at:
                raise self._refusal(workspace, account, now)
            await self._wait_for_lease(workspace, account)
        now = self.clock.monotonic()
        if account.spend(now):
            return now
        raise self._refusal(workspace, account, now)

    def give_back(self, name: str, account: QuotaAccount, leased_at: float) -> None:
        """Give back the token of a request that did not run."""
        account.give_back(leased_at, self.clock.monotonic())
        if account.returned == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(RETURN_AFTER_S, self._return, name, account)

    def _refusal(
        self, workspace: WorkspaceSettings, account: QuotaAccount, now: float
    ) -> NotRunError:
        self.metrics.count("quota.refused")
        account.refusals += 1
        wait_ms = max(LEAST_WAIT_MS, (account.retry_at - now) * 1000)
        return NotRunError(
            ErrorCode.WORKSPACE_LIMITED,
            f"{workspace.name} has used up its {workspace.requests_per_s:g} requests a second",
            step=STEP,
            retry_after_ms=round(wait_ms * self.rng.uniform(1, SPREAD)),
        )

    async def _wait_for_lease(self, workspace: WorkspaceSettings, account: QuotaAccount) -> None:
        """Wait for the answer to one question, which all requests that wait share."""
        name = workspace.name
        self.waiting[name] = self.waiting.get(name, 0) + 1
        try:
            task = self.asking.get(name)
            if task is None:
                task = self.asking[name] = asyncio.create_task(self._lease(workspace, account))
                task.add_done_callback(lambda done: self._asked(name, done))
            # A caller that gives up must not end the question that others wait for.
            await asyncio.shield(task)
        finally:
            self.waiting[name] -= 1

    def _asked(self, name: str, task: "asyncio.Task[None]") -> None:
        self.asking.pop(name, None)
        if not task.cancelled():
            # Also where every request that waited was given up meanwhile.
            task.exception()

    async def _lease(self, workspace: WorkspaceSettings, account: QuotaAccount) -> None:
        """Ask the owners in turn until one answers.

        Raises ``NotRunError`` where none does.
        """
        # One turn of the loop, so that requests that arrive together ask together.
        await asyncio.sleep(0)
        name = workspace.name
        for owner in self.owners.owners_of(name):
            asked_at = self.clock.monotonic()
            if self.silence.is_silent(owner.peer_address, asked_at):
                continue
            wanted = account.wanted(self.waiting.get(name, 0), asked_at)
            returned = account.take_returned()
            grant = await self._ask(owner, name, wanted, returned)
            self.silence.note(owner.peer_address, grant is not None, self.clock.monotonic())
            if grant is None:
                self.metrics.count("quota.unanswered")
                continue
            account.add_lease(grant.granted, asked_at)
            if not grant.granted:
                account.record_refusal(grant.wait_ms / 1000, self.clock.monotonic())
            return
        raise NotRunError(
            ErrorCode.QUOTA_UNKNOWN,
            f"no node that knows what is left for {name} answers",
            step=STEP,
            retry_after_ms=round(UNKNOWN_MS * self.rng.uniform(1, SPREAD)),
        )

    async def _ask(
        self, owner: Member, workspace: str, wanted: int, returned: int
    ) -> TokenGrant | None:
        if owner.node == self.directory.self_member.node:
            return await self.pools.grant(TokenRequest(0, workspace, wanted, returned))
        self.metrics.count("quota.asked")
        return await self.questions.ask(owner, workspace, wanted, returned)

    def _return(self, name: str, account: QuotaAccount) -> None:
        """Give back what no question has taken along."""
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

    # What other nodes send

    def handle_bulletin(self, member: Member, fields: list[Any]) -> None:
        """Take in a message of another node."""
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
            self.questions.answered(message)
            return
        task = asyncio.create_task(self._answer(member, message))
        self.answering.add(task)
        task.add_done_callback(self.answering.discard)

    async def _answer(self, member: Member, ask: TokenRequest) -> None:
        grant = self.pools.lend(ask) if ask.loan else await self.pools.grant(ask)
        if ask.wanted:
            self.publish(grant.pack(), [member])

    # What changes

    def members_changed(self, member: Member) -> None:
        """Take note of a member that has come or gone."""
        if self.owners.member_changed(member):
            self.pools.owners_changed()

    def settings_changed(self, revision: int) -> None:
        """Forget what belongs to workspaces that are gone or no longer limited."""
        self.pools.keep({each.name for each in self.view.workspaces if each.is_limited})
        for name in self.accounts.keys() - self.view.workspaces.by_name.keys():
            del self.accounts[name]

    def usage(self, name: str) -> dict[str, Any]:
        """Return how much a workspace asks for at this node, and what became of it."""
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
    announced: Callable[[], int] = lambda: 1,
) -> QuotaService:
    """Return the quotas of a node, which owns no pool yet.

    ``announced`` returns how many nodes have announced themselves.
    """
    owners = Owners(directory, clock, announced=announced)
    questions = Questions(publish, rng)
    service = QuotaService(
        view,
        directory,
        owners,
        questions,
        OwnedPools(view, directory, owners, questions, clock, metrics),
        clock,
        rng,
        metrics,
        publish,
    )
    directory.on_change(service.members_changed)
    view.on_change(service.settings_changed)
    return service
