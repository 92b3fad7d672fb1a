"""The CBOR codec of all messages between nodes."""

import math
from typing import Any

import attrs
import cbor2

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import LoadReport, ServerStatement
from marjoramtide.peers import _messages as messages

# The index in this list is the message type on the wire: append only.
MESSAGE_TYPES: list[type] = [
    messages.RequestMessage,
    messages.ContinueMessage,
    messages.RequestChunk,
    messages.ResponseMessage,
    messages.ResponseChunk,
    messages.FailureMessage,
    messages.CancelMessage,
    messages.CreditMessage,
    messages.QuestionMessage,
    messages.ReplyMessage,
    messages.InFlightMessage,
]
TYPE_NUMBERS = {cls: type_number for type_number, cls in enumerate(MESSAGE_TYPES)}
TYPE_NUMBER_RANGE = range(len(MESSAGE_TYPES))
FIELD_NAMES = {cls: tuple(field.name for field in attrs.fields(cls)) for cls in MESSAGE_TYPES}
REPORT_FIELDS = tuple(field.name for field in attrs.fields(LoadReport))
CHECKED_TYPES = {
    str: str,
    int: int,
    bool: bool,
    bytes: bytes,
    float: (int, float),
    dict[str, Any]: dict,
    list[tuple[str, str]]: list,
    list[Any]: list,
    list[Any] | None: (list, type(None)),
    str | None: (str, type(None)),
}
FIELD_CHECKS = [
    tuple(CHECKED_TYPES[field.type] for field in attrs.fields(cls))  # type: ignore[index]
    for cls in MESSAGE_TYPES
]


def encode(message: Any) -> bytes:
    """Return the message as a CBOR array: its type number, then its fields.

    Trailing fields that are ``None`` are omitted, so that nodes of the previous version can read
    all other messages during a rolling update.
    """
    cls = type(message)
    fields = [getattr(message, name) for name in FIELD_NAMES[cls]]
    while fields[-1] is None:
        fields.pop()
    return cbor2.dumps([TYPE_NUMBERS[cls], *fields])


def decode(frame: bytes) -> Any:
    """Return the message in a frame; raises ``bad-frame`` if it is malformed."""
    try:
        type_number, *fields = cbor2.loads(frame)
        if type_number not in TYPE_NUMBER_RANGE:
            raise ValueError("unknown message type")
        checks = FIELD_CHECKS[type_number]
        fields += [None for check in checks[len(fields) :] if isinstance(None, check)]
        if len(fields) != len(checks) or not all(map(isinstance, fields, checks)):
            raise ValueError("the fields do not match the message type")
        return MESSAGE_TYPES[type_number](*fields)
    except Exception as error:
        raise MarjoramtideError(
            ErrorCode.BAD_FRAME, f"{type(error).__name__}: {error}", step="peers.decode"
        ) from error


def unpack_headers(fields: list[Any]) -> tuple[tuple[str, str], ...]:
    """Return the headers of a message; raises ``bad-frame`` if they are malformed."""
    pairs = tuple(tuple(field) if isinstance(field, list) else () for field in fields)
    sound = all(len(pair) == 2 and all(map(is_header_text, pair)) for pair in pairs)
    if not sound:
        raise MarjoramtideError(ErrorCode.BAD_FRAME, "malformed headers", step="peers.decode")
    return pairs  # type: ignore[return-value]


def is_header_text(part: Any) -> bool:
    """Tell whether a header name or value is text without line breaks and NULs."""
    return isinstance(part, str) and not ("\n" in part or "\r" in part or "\0" in part)


def report_fields(report: LoadReport) -> list[Any]:
    """Return a load report as the list that is sent."""
    fields = [getattr(report, name) for name in REPORT_FIELDS[:-1]]
    return fields if report.statement is None else [*fields, pack_statement(report.statement)]


def pack_report(report: LoadReport | None) -> list[Any] | None:
    """Return an optional load report as a message field."""
    return None if report is None else report_fields(report)


def unpack_report(fields: list[Any] | None) -> LoadReport | None:
    """Return the load report in a message field, or ``None`` if it is absent or malformed.

    Fields that a later version has appended are ignored. Otherwise nodes of the previous version
    would lose all reports of updated ones during a rolling update, and choose servers without them.
    """
    if fields is None:
        return None
    plain, statement = fields[: len(REPORT_FIELDS) - 1], None
    if len(fields) >= len(REPORT_FIELDS):
        statement = unpack_statement(fields[len(REPORT_FIELDS) - 1])
    try:
        return attrs.evolve(LoadReport(*plain), statement=statement)
    except TypeError:
        return None


def pack_statement(statement: ServerStatement | None) -> list[Any] | None:
    """Return a server's statement as a message field, ``None`` if there is none."""
    if statement is None:
        return None
    return [statement.instance, statement.rate_per_s, statement.leaving]


def unpack_statement(fields: Any) -> ServerStatement | None:
    """Return the server statement in a message field, ``None`` if absent or malformed."""
    match fields:
        case [str(instance), None | int() | float() as rate, bool(leaving), *_]:
            if rate is None or 0 <= rate < math.inf:
                return ServerStatement(instance, rate, leaving)
    return None
