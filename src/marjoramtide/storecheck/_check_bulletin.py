"""The bulletin that tells the other nodes of a check of the store."""

from typing import Any

import attrs

from marjoramtide.checked import MalformedError, is_unsigned_int

SUBJECT = "checked"
FIELD_COUNT = 2
# Limits for validation: a number that no fleet reaches, and an age at which a check is worthless.
MAX_NUMBER = 1 << 62
MAX_AGE_MS = 60_000


@attrs.frozen(slots=True)
class CheckBulletin:
    """The number of a check, and how many seconds before sending the store was asked.

    Numbers increase from check to check of the whole fleet, so a bulletin that arrives late or is
    replayed by an attacker doesn't count.
    """

    number: int
    age_s: float

    def pack(self) -> list[Any]:
        """Return the bulletin as a list of fields.

        The whole message is one field, so that nodes that don't know the type ignore it.
        """
        return [[SUBJECT, self.number, min(MAX_AGE_MS, round(self.age_s * 1000))]]


def is_check_bulletin(fields: list[Any]) -> bool:
    """Tell whether a bulletin is about a check of the store."""
    message = fields[0] if len(fields) == 1 else None
    return isinstance(message, list) and message[:1] == [SUBJECT]


def unpack_check_bulletin(fields: list[Any]) -> CheckBulletin:
    """Decode a bulletin; raises ``MalformedError``.

    Fields that a later version has appended are ignored.
    """
    if not is_check_bulletin(fields) or len(fields[0]) < 1 + FIELD_COUNT:
        raise MalformedError("not a bulletin about a check of the store")
    number, age_ms = fields[0][1 : 1 + FIELD_COUNT]
    if not is_unsigned_int(number, MAX_NUMBER) or not is_unsigned_int(age_ms, MAX_AGE_MS + 1):
        raise MalformedError("malformed number or age of a check")
    return CheckBulletin(number, age_ms / 1000)
