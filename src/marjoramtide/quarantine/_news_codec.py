"""Suspicions as the fields of a bulletin, and back."""

from collections.abc import Iterable, Iterator
from typing import Any

from marjoramtide.checked import MalformedError, is_unsigned_int
from marjoramtide.policy import MAX_CRASHES, ServerCrash, SuspectReport

SUBJECT = "quarantine"
FIELDS = 4
END_FIELDS = 3
# What suspicions may take in one bulletin, of the 1200 bytes of a datagram. One with one end takes
# 30, the largest 450.
ROOM_BYTES = 1000
FRAME_BYTES = 16
END_BYTES = 18
CLEARED_BYTES = 9
# Far longer than anything is remembered. Greater numbers can't be told in seconds.
LONGEST_MS = 7 * 86_400_000


def pack_news(suspicions: Iterable[SuspectReport]) -> Iterator[list[Any]]:
    """Yield the fields of as many bulletins as the suspicions need.

    All of it is one field: a node that does not know such news takes a bulletin for a report of
    load, which has more, and passes this one over.
    """
    batch: list[Any] = [SUBJECT]
    room = ROOM_BYTES
    for suspicion in suspicions:
        size = FRAME_BYTES + END_BYTES * len(suspicion.crashes)
        size += CLEARED_BYTES * len(suspicion.cleared)
        if size > room and len(batch) > 1:
            yield [batch]
            batch, room = [SUBJECT], ROOM_BYTES
        batch.append(
            [
                suspicion.fingerprint,
                [
                    [end.number, round(end.age_s * 1000), round(end.ran_s * 1000)]
                    for end in suspicion.crashes
                ],
                list(suspicion.cleared),
                round(suspicion.trial_s * 1000),
            ]
        )
        room -= size
    if len(batch) > 1:
        yield [batch]


def pack_question() -> list[Any]:
    """Return the fields of the bulletin that asks for what is held back: news without any.

    A node of the version before takes it for news, and finds nothing in it.
    """
    return [[SUBJECT]]


def is_quarantine_news(fields: list[Any]) -> bool:
    """Tell whether a bulletin is such news."""
    news = fields[0] if len(fields) == 1 else None
    return isinstance(news, list) and news[:1] == [SUBJECT]


def unpack_news(fields: list[Any]) -> list[SuspectReport]:
    """Return the suspicions in a bulletin; raises ``MalformedError`` where one of them is none."""
    return [unpack_suspicion(each) for each in fields[0][1:]]


def unpack_suspicion(wire: Any) -> SuspectReport:
    """Return one suspicion; what a later version has added at the end is passed over."""
    if not isinstance(wire, list) or len(wire) < FIELDS:
        raise MalformedError("no suspicion")
    fingerprint, crashes, cleared, trial_ms = wire[:FIELDS]
    if not all(isinstance(each, list) and len(each) <= MAX_CRASHES for each in (crashes, cleared)):
        raise MalformedError("no list of ends")
    if not all(map(is_unsigned_int, (fingerprint, *cleared))):
        raise MalformedError("no number of 64 bits")
    if not is_duration(trial_ms):
        raise MalformedError("no duration of a trial")
    return SuspectReport(
        fingerprint, tuple(map(unpack_end, crashes)), tuple(cleared), trial_ms / 1000
    )


def unpack_end(wire: Any) -> ServerCrash:
    """Return one end of a server."""
    if not isinstance(wire, list) or len(wire) < END_FIELDS:
        raise MalformedError("no end of a server")
    number, age_ms, ran_ms = wire[:END_FIELDS]
    if not is_unsigned_int(number) or not all(map(is_duration, (age_ms, ran_ms))):
        raise MalformedError("no number or time of an end")
    return ServerCrash(number, age_ms / 1000, ran_ms / 1000)


def is_duration(value: Any) -> bool:
    """Tell whether a value is a number of milliseconds that such news may tell."""
    return type(value) in (int, float) and 0 <= value <= LONGEST_MS
