"""The encoding of reports of suspects as the fields of a bulletin."""

from collections.abc import Iterable, Iterator
from typing import Any

from marjoramtide.checked import MalformedError, is_unsigned_int
from marjoramtide.policy import MAX_CRASHES, ServerCrash, SuspectReport

SUBJECT = "quarantine"
REPORT_FIELDS = 4
CRASH_FIELDS = 3
# The space for reports in one bulletin, of the 1200 bytes of a datagram. A report with one crash
# takes 30 bytes, the largest 450.
MAX_BATCH_BYTES = 1000
REPORT_BYTES = 16
CRASH_BYTES = 18
CLEARED_BYTES = 9
# Far longer than anything is remembered. Larger values would overflow when converted to seconds.
MAX_DURATION_MS = 7 * 86_400_000


def pack_suspect_reports(reports: Iterable[SuspectReport]) -> Iterator[list[Any]]:
    """Yield the fields of as many bulletins as the reports need.

    The whole message is one field. Nodes that don't know the type treat a bulletin as a load
    report, which has more fields, and so ignore this one.
    """
    batch: list[Any] = [SUBJECT]
    free_bytes = MAX_BATCH_BYTES
    for report in reports:
        size = REPORT_BYTES + CRASH_BYTES * len(report.crashes)
        size += CLEARED_BYTES * len(report.cleared)
        if size > free_bytes and len(batch) > 1:
            yield [batch]
            batch, free_bytes = [SUBJECT], MAX_BATCH_BYTES
        batch.append(
            [
                report.fingerprint,
                [
                    [crash.number, round(crash.age_s * 1000), round(crash.ran_s * 1000)]
                    for crash in report.crashes
                ],
                list(report.cleared),
                round(report.trial_s * 1000),
            ]
        )
        free_bytes -= size
    if len(batch) > 1:
        yield [batch]


def pack_state_request() -> list[Any]:
    """Return the bulletin that requests the held requests: a message without reports.

    A node of the previous version reads it as an empty list of reports.
    """
    return [[SUBJECT]]


def is_quarantine_bulletin(fields: list[Any]) -> bool:
    """Tell whether a bulletin contains reports of suspects or requests them."""
    message = fields[0] if len(fields) == 1 else None
    return isinstance(message, list) and message[:1] == [SUBJECT]


def unpack_suspect_reports(fields: list[Any]) -> list[SuspectReport]:
    """Return the reports in a bulletin; raises ``MalformedError`` if one is malformed."""
    return [unpack_suspect_report(each) for each in fields[0][1:]]


def unpack_suspect_report(fields: Any) -> SuspectReport:
    """Return one report; fields that a later version has appended are ignored."""
    if not isinstance(fields, list) or len(fields) < REPORT_FIELDS:
        raise MalformedError("malformed report of a suspect")
    fingerprint, crashes, cleared, trial_ms = fields[:REPORT_FIELDS]
    if not all(isinstance(each, list) and len(each) <= MAX_CRASHES for each in (crashes, cleared)):
        raise MalformedError("malformed list of crashes, or too many of them")
    if not all(map(is_unsigned_int, (fingerprint, *cleared))):
        raise MalformedError("fingerprint or crash number is not a 64-bit integer")
    if not is_duration(trial_ms):
        raise MalformedError("malformed duration of a trial")
    return SuspectReport(
        fingerprint, tuple(map(unpack_crash, crashes)), tuple(cleared), trial_ms / 1000
    )


def unpack_crash(fields: Any) -> ServerCrash:
    """Return one crash of a server."""
    if not isinstance(fields, list) or len(fields) < CRASH_FIELDS:
        raise MalformedError("malformed crash")
    number, age_ms, ran_ms = fields[:CRASH_FIELDS]
    if not is_unsigned_int(number) or not all(map(is_duration, (age_ms, ran_ms))):
        raise MalformedError("malformed number or time of a crash")
    return ServerCrash(number, age_ms / 1000, ran_ms / 1000)


def is_duration(value: Any) -> bool:
    """Tell whether a value is a valid number of milliseconds."""
    return type(value) in (int, float) and 0 <= value <= MAX_DURATION_MS
