"""What nodes tell each other of quotas, as the fields of a bulletin."""

from typing import Any

import attrs

from marjoramtide.checked import MalformedError

SUBJECT = "quota"
ASK, GRANT = 0, 1
# Far above what any node needs at once, and any time of waiting; more is no question or answer.
MOST_TOKENS = 1_000_000
LONGEST_WAIT_MS = 3_600_000
MOST_NUMBER = 1 << 62


@attrs.frozen(slots=True)
class TokenRequest:
    """A question for tokens of a workspace; ``number`` tells its answer from others.

    ``returned`` tokens were leased before and not used. A ``loan`` is asked for by the owner of
    another data centre's share.
    """

    number: int
    workspace: str
    wanted: int
    returned: int = 0
    loan: bool = False

    def pack(self) -> list[Any]:
        fields = [self.number, self.workspace, self.wanted, self.returned, self.loan]
        return [[SUBJECT, ASK, *fields]]


@attrs.frozen(slots=True)
class TokenGrant:
    """The answer: how many tokens, and where there are none, when there may be one."""

    number: int
    granted: int
    wait_ms: int = 0

    def pack(self) -> list[Any]:
        return [[SUBJECT, GRANT, self.number, self.granted, self.wait_ms]]


def is_quota_bulletin(fields: list[Any]) -> bool:
    """Tell whether a bulletin is about quotas.

    All of it is one field: a node that doesn't know such messages passes them over.
    """
    message = fields[0] if len(fields) == 1 else None
    return isinstance(message, list) and message[:1] == [SUBJECT]


def unpack_quota_message(fields: list[Any]) -> TokenRequest | TokenGrant:
    """Return the message in a bulletin; raises ``MalformedError`` where it is none.

    What a later version has added at the end is passed over.
    """
    match fields[0][1:]:
        case [0, int(number), str(workspace), int(wanted), int(returned), bool(loan), *_]:
            _check(number, MOST_NUMBER)
            _check(wanted, MOST_TOKENS)
            _check(returned, MOST_TOKENS)
            return TokenRequest(number, workspace, wanted, returned, loan)
        case [1, int(number), int(granted), int(wait_ms), *_]:
            _check(number, MOST_NUMBER)
            _check(granted, MOST_TOKENS)
            _check(wait_ms, LONGEST_WAIT_MS)
            return TokenGrant(number, granted, wait_ms)
    raise MalformedError("no question or answer about a quota")


def _check(value: int, most: int) -> None:
    if isinstance(value, bool) or not 0 <= value <= most:
        raise MalformedError(f"{value!r} is no number from 0 to {most}")
