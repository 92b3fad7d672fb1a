"""Requests and grants of quota tokens, as the fields of a bulletin."""

from typing import Any

import attrs

from marjoramtide.checked import MalformedError

SUBJECT = "quota"
REQUEST, GRANT = 0, 1
# Limits for validation, far above what any node needs.
MAX_TOKENS = 1_000_000
MAX_RETRY_AFTER_MS = 3_600_000
MAX_CORRELATION_ID = 1 << 62


@attrs.frozen(slots=True)
class TokenRequest:
    """A request for tokens of a workspace; ``correlation_id`` matches its grant.

    ``returned`` tokens were leased before and not used. With ``is_loan`` the sender is the owner of
    another data centre's share.
    """

    correlation_id: int
    workspace: str
    requested: int
    returned: int = 0
    is_loan: bool = False

    def pack(self) -> list[Any]:
        fields = [self.correlation_id, self.workspace, self.requested, self.returned, self.is_loan]
        return [[SUBJECT, REQUEST, *fields]]


@attrs.frozen(slots=True)
class TokenGrant:
    """The response to a request: the number of tokens, and if there are none, when to retry."""

    correlation_id: int
    granted: int
    retry_after_ms: int = 0

    def pack(self) -> list[Any]:
        return [[SUBJECT, GRANT, self.correlation_id, self.granted, self.retry_after_ms]]


def is_quota_bulletin(fields: list[Any]) -> bool:
    """Tell whether a bulletin is about quotas.

    The whole message is one field, so that nodes that don't know the type ignore it.
    """
    message = fields[0] if len(fields) == 1 else None
    return isinstance(message, list) and message[:1] == [SUBJECT]


def unpack_quota_message(fields: list[Any]) -> TokenRequest | TokenGrant:
    """Return the message in a bulletin; raises ``MalformedError`` if it is malformed.

    Fields that a later version has appended are ignored.
    """
    match fields[0][1:]:
        case [
            0,
            int(correlation_id),
            str(workspace),
            int(requested),
            int(returned),
            bool(is_loan),
            *_,
        ]:
            _check(correlation_id, MAX_CORRELATION_ID)
            _check(requested, MAX_TOKENS)
            _check(returned, MAX_TOKENS)
            return TokenRequest(correlation_id, workspace, requested, returned, is_loan)
        case [1, int(correlation_id), int(granted), int(retry_after_ms), *_]:
            _check(correlation_id, MAX_CORRELATION_ID)
            _check(granted, MAX_TOKENS)
            _check(retry_after_ms, MAX_RETRY_AFTER_MS)
            return TokenGrant(correlation_id, granted, retry_after_ms)
    raise MalformedError("neither a request nor a grant of quota tokens")


def _check(value: int, maximum: int) -> None:
    if isinstance(value, bool) or not 0 <= value <= maximum:
        raise MalformedError(f"{value!r} is not an integer from 0 to {maximum}")
