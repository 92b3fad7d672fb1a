"""A claim as the fields of a bulletin, and back."""

from typing import Any

from marjoramtide.checked import MalformedError
from marjoramtide.claims._claim_record import ClaimRecord, decode_record

SUBJECT = "claim"
FIELDS = 3
MOST_KEY_CHARACTERS = 512


def pack_claim(key: str, record: ClaimRecord) -> list[Any]:
    """Return a claim as it travels, all of it in one field, as news of other kinds is."""
    return [[SUBJECT, key, record.encode()]]


def is_claim_bulletin(fields: list[Any]) -> bool:
    """Tell whether a bulletin is such news."""
    news = fields[0] if len(fields) == 1 else None
    return isinstance(news, list) and news[:1] == [SUBJECT]


def unpack_claim(fields: list[Any]) -> tuple[str, ClaimRecord]:
    """Read a claim; raises ``MalformedError``. What a later version has added is passed over."""
    if not is_claim_bulletin(fields) or len(fields[0]) < FIELDS:
        raise MalformedError("no claim")
    key, value = fields[0][1:FIELDS]
    if not isinstance(key, str) or not 0 < len(key) <= MOST_KEY_CHARACTERS:
        raise MalformedError("no key of a claim")
    record = decode_record(value) if isinstance(value, bytes) else None
    if record is None:
        raise MalformedError("no record of a claim")
    return key, record
