"""Questions to other nodes that wait for their answers."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from marjoramtide.membership import Member
from marjoramtide.quota._messages import TokenGrant, TokenRequest

Publish = Callable[[list[Any], Iterable[Member]], None]
# An answer takes a few milliseconds where both ends are idle. One that a loan is waited for takes
# as long as that.
LOAN_TIMEOUT_S = 0.12
ANSWER_TIMEOUT_S = 0.3


@attrs.define(slots=True, eq=False, repr=False)
class Questions:
    """Sends questions in datagrams and matches the answers to them by number.

    Numbers begin at random, so that an answer to a node that has ended is none to its successor.
    """

    publish: Publish
    rng: random.Random
    numbers: "itertools.count[int]" = attrs.field(init=False)
    waiting: dict[int, asyncio.Future[TokenGrant]] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        self.numbers = itertools.count(self.rng.getrandbits(48))

    async def ask(
        self, member: Member, workspace: str, wanted: int, returned: int = 0, *, loan: bool = False
    ) -> TokenGrant | None:
        """Return a member's answer, ``None`` where none came."""
        number = next(self.numbers)
        waiter = self.waiting[number] = asyncio.get_running_loop().create_future()
        self.publish(TokenRequest(number, workspace, wanted, returned, loan).pack(), [member])
        try:
            return await asyncio.wait_for(waiter, LOAN_TIMEOUT_S if loan else ANSWER_TIMEOUT_S)
        except TimeoutError:
            return None
        finally:
            self.waiting.pop(number, None)

    def answered(self, grant: TokenGrant) -> None:
        """Hand an answer to whoever waits for it; a late one is passed over, its tokens lost."""
        waiter = self.waiting.get(grant.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(grant)
