"""Encoding of a claim as the fields of a bulletin."""

from typing import Any

from marjoramtide.checked import MalformedError
from marjoramtide.claims._claim_record import ClaimRecord, decode_record

MESSAGE_KIND = "claim"
FIELD_COUNT = 3
MAX_KEY_CHARACTERS = 512


def pack_claim(key: str, record: ClaimRecord) -> list[Any]:
    """Return the fields of a bulletin: one list, as for bulletins of other kinds."""
    return [[MESSAGE_KIND, key, record.encode()]]


def is_claim_bulletin(fields: list[Any]) -> bool:
    """Return whether a bulletin contains a claim."""
    news = fields[0] if len(fields) == 1 else None
    return isinstance(news, list) and news[:1] == [MESSAGE_KIND]


def unpack_claim(fields: list[Any]) -> tuple[str, ClaimRecord]:
    """Decode a claim; raises ``MalformedError``. Fields added by later versions are ignored."""
    if not is_claim_bulletin(fields) or len(fields[0]) < FIELD_COUNT:
        raise MalformedError("bulletin contains no claim")
    key, value = fields[0][1:FIELD_COUNT]
    if not isinstance(key, str) or not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise MalformedError("bulletin has an invalid claim key")
    record = decode_record(value) if isinstance(value, bytes) else None
    if record is None:
        raise MalformedError("bulletin has an invalid claim record")
    return key, record
