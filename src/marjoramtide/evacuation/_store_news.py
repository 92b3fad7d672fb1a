"""What nodes tell each other of the store: its epoch, and what is evacuated there."""

from typing import Any

import attrs

from marjoramtide.checked import MalformedError, is_unsigned_int
from marjoramtide.policy import EVACUATION_HOLD_S, EvacuationSnapshot

SUBJECT = "store"
FIELDS = 4
# Above what any fleet has; a list of more is none that a node has written.
MOST_NAMES = 256
MOST_NAME_CHARACTERS = 128
MOST_EPOCH = 1 << 32


@attrs.frozen(slots=True)
class StoreNews:
    """The newest epoch of the store, and the evacuated data centres at a version of it."""

    epoch: int
    evacuated: EvacuationSnapshot

    def pack(self) -> list[Any]:
        """Return the news as it travels.

        All of it is one field: a node that does not know such news takes a bulletin for a report of
        load, which has more, and passes this one over.
        """
        told = self.evacuated
        kept = [[name, round(left_s * 1000)] for name, left_s in told.held_s]
        return [[SUBJECT, self.epoch, told.version, sorted(told.names), kept]]


def is_store_news(fields: list[Any]) -> bool:
    """Tell whether a bulletin is such news."""
    news = fields[0] if len(fields) == 1 else None
    return isinstance(news, list) and news[:1] == [SUBJECT]


def unpack_store_news(fields: list[Any]) -> StoreNews:
    """Read news; raises ``MalformedError``. What a later version has added is passed over."""
    if not is_store_news(fields) or len(fields[0]) < 1 + FIELDS:
        raise MalformedError("no news of the store")
    epoch, version, names, kept = fields[0][1 : 1 + FIELDS]
    if not (is_unsigned_int(epoch, MOST_EPOCH) and is_unsigned_int(version)):
        raise MalformedError("no epoch or version")
    if not isinstance(names, list) or not isinstance(kept, list):
        raise MalformedError("no lists of data centres")
    if max(len(names), len(kept)) > MOST_NAMES or not all(map(is_name, names)):
        raise MalformedError("no names of data centres")
    held_s = tuple(map(unpack_kept, kept))
    return StoreNews(epoch, EvacuationSnapshot(version, frozenset(names), held_s))


def unpack_kept(wire: Any) -> tuple[str, float]:
    """Read one data centre that is held to be evacuated, and for how many seconds."""
    if not isinstance(wire, list) or len(wire) != 2:
        raise MalformedError("no time of a data centre")
    name, left_ms = wire
    if not is_name(name) or not is_unsigned_int(left_ms, round(EVACUATION_HOLD_S * 1000) + 1):
        raise MalformedError("no time of a data centre")
    return name, left_ms / 1000


def is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MOST_NAME_CHARACTERS
