"""Requests for tokens that wait for their grants."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from marjoramtide.membership import Member
from marjoramtide.quota._messages import TokenGrant, TokenRequest

Publish = Callable[[list[Any], Iterable[Member]], None]
# A response takes a few milliseconds if both nodes are idle. One that waits for a loan takes up to
# the loan's timeout longer.
LOAN_TIMEOUT_S = 0.12
GRANT_TIMEOUT_S = 0.3


@attrs.define(slots=True, eq=False, repr=False)
class TokenRequester:
    """Sends token requests in datagrams and matches grants to them by correlation id.

    The ids start at a random number, so that a restarted node does not accept a grant meant for its
    previous incarnation.
    """

    publish: Publish
    rng: random.Random
    correlation_ids: "itertools.count[int]" = attrs.field(init=False)
    pending: dict[int, asyncio.Future[TokenGrant]] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        self.correlation_ids = itertools.count(self.rng.getrandbits(48))

    async def request_tokens(
        self,
        member: Member,
        workspace: str,
        requested: int,
        returned: int = 0,
        *,
        is_loan: bool = False,
    ) -> TokenGrant | None:
        """Return a member's grant, ``None`` if it does not respond in time."""
        correlation_id = next(self.correlation_ids)
        waiter = self.pending[correlation_id] = asyncio.get_running_loop().create_future()
        self.publish(
            TokenRequest(correlation_id, workspace, requested, returned, is_loan).pack(), [member]
        )
        try:
            return await asyncio.wait_for(waiter, LOAN_TIMEOUT_S if is_loan else GRANT_TIMEOUT_S)
        except TimeoutError:
            return None
        finally:
            self.pending.pop(correlation_id, None)

    def handle_grant(self, grant: TokenGrant) -> None:
        """Pass a grant to the waiting request; a late one is dropped, and its tokens are lost."""
        waiter = self.pending.get(grant.correlation_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(grant)
