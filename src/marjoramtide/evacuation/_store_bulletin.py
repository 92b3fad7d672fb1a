"""The bulletin about the store: its epoch, and the evacuated data centres."""

from typing import Any

import attrs

from marjoramtide.checked import MalformedError, is_unsigned_int
from marjoramtide.policy import EVACUATION_HOLD_S, EvacuationSnapshot

SUBJECT = "store"
FIELD_COUNT = 4
# Limits for validation, above what any fleet has.
MAX_NAMES = 256
MAX_NAME_CHARACTERS = 128
MAX_EPOCH = 1 << 32


@attrs.frozen(slots=True)
class StoreBulletin:
    """The newest epoch of the store, and a snapshot of the evacuated data centres."""

    epoch: int
    evacuated: EvacuationSnapshot

    def pack(self) -> list[Any]:
        """Return the bulletin as a list of fields.

        The whole message is one field. Nodes that don't know the type treat a bulletin as a load
        report, which has more fields, and so ignore this one.
        """
        snapshot = self.evacuated
        holds = [[name, round(left_s * 1000)] for name, left_s in snapshot.held_s]
        return [[SUBJECT, self.epoch, snapshot.version, sorted(snapshot.names), holds]]


def is_store_bulletin(fields: list[Any]) -> bool:
    """Tell whether a bulletin is about the store."""
    message = fields[0] if len(fields) == 1 else None
    return isinstance(message, list) and message[:1] == [SUBJECT]


def unpack_store_bulletin(fields: list[Any]) -> StoreBulletin:
    """Decode a bulletin; raises ``MalformedError``.

    Fields that a later version has appended are ignored.
    """
    if not is_store_bulletin(fields) or len(fields[0]) < 1 + FIELD_COUNT:
        raise MalformedError("not a bulletin about the store")
    epoch, version, names, holds = fields[0][1 : 1 + FIELD_COUNT]
    if not (is_unsigned_int(epoch, MAX_EPOCH) and is_unsigned_int(version)):
        raise MalformedError("malformed epoch or version")
    if not isinstance(names, list) or not isinstance(holds, list):
        raise MalformedError("the data centres are not lists")
    if max(len(names), len(holds)) > MAX_NAMES or not all(map(is_valid_name, names)):
        raise MalformedError("malformed names of data centres, or too many of them")
    held_s = tuple(map(unpack_hold, holds))
    return StoreBulletin(epoch, EvacuationSnapshot(version, frozenset(names), held_s))


def unpack_hold(fields: Any) -> tuple[str, float]:
    """Decode one data centre that is still treated as evacuated, and for how many seconds."""
    if not isinstance(fields, list) or len(fields) != 2:
        raise MalformedError("malformed hold of a data centre")
    name, left_ms = fields
    if not is_valid_name(name) or not is_unsigned_int(left_ms, round(EVACUATION_HOLD_S * 1000) + 1):
        raise MalformedError("malformed hold of a data centre")
    return name, left_ms / 1000


def is_valid_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARACTERS
