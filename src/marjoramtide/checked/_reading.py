"""One strict converter for all that comes from other writers."""

import functools
import json
import math
from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, TypeVar

import cattrs

T = TypeVar("T")

# How much of a reason is kept, in characters: it goes into logs and answers, and may quote what was
# written.
REASON_CHARACTERS = 200
# Plain types, and what is said where a value is of another one.
PLAIN = {
    bytes: "bytes are",
    bool: "true or false is",
    int: "a whole number is",
}


class MalformedError(ValueError):
    """What was read is not of the form that it should have; the text tells what is wrong."""


def parse_json(data: bytes | str) -> Any:
    """Return the value of a JSON text; raises ``MalformedError`` for anything else."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        # The second one for what is nested deeply.
        raise MalformedError(f"no JSON: {type(error).__name__}") from error


def structure_as(cls: type[T], raw: Any) -> T:
    """Return tables and lists as an attrs class, whose fields say of what type and size they are.

    Nothing is converted: the text ``"18"`` is no number, ``true`` is none, and a list is no text.
    Fields that the class doesn't know are passed over, since other writers may know more. Raises
    ``MalformedError``, which names the fields that are wrong or missing. For example,
    ``read_as(Point, {"x": 1, "y": 2})`` returns ``Point(1, 2)``.
    """
    try:
        return quick_converter().structure(raw, cls)
    except Exception as error:
        # Whatever a foreign text makes the converter stumble over, it is the text that is wrong.
        raise MalformedError(reasons_of(cls, raw) or repr(error)[:REASON_CHARACTERS]) from error


def reasons_of(cls: type[Any], raw: Any) -> str:
    """Tell which fields are wrong, in words that operators understand."""
    try:
        explaining_converter().structure(raw, cls)
    except cattrs.BaseValidationError as error:
        return "; ".join(cattrs.transform_error(error))[:REASON_CHARACTERS]
    except Exception as error:
        return repr(error)[:REASON_CHARACTERS]
    return ""


def rename_keys(raw: Any, names: Mapping[str, str]) -> dict[str, Any]:
    """Return a table with our names for the fields that ``names`` gives by another's.

    Raises ``MalformedError`` where it is no table.
    """
    if not isinstance(raw, dict):
        raise MalformedError(f"a table is wanted, not a {type(raw).__name__}")
    return {own: raw[other] for other, own in names.items() if other in raw}


@functools.cache
def quick_converter() -> cattrs.BaseConverter:
    """Return the converter for each day.

    Not the one that generates code: that is compiled anew for each class at each start of a node,
    which takes more processor time than the few objects that it reads in a day.
    """
    return strict(cattrs.BaseConverter())


@functools.cache
def explaining_converter() -> cattrs.BaseConverter:
    """Return the converter that names the fields that are wrong; made once something is."""
    return strict(cattrs.Converter(detailed_validation=True))


def strict(made: cattrs.BaseConverter) -> cattrs.BaseConverter:
    """Have a converter refuse plain values of another type."""
    for cls, wanted in PLAIN.items():
        made.register_structure_hook(cls, only(cls, wanted))
    made.register_structure_hook(str, _text)
    made.register_structure_hook(float, _number)
    # Otherwise the hook for texts would be theirs, and let through what is none of their words.
    made.register_structure_hook(StrEnum, lambda value, cls: cls(value))
    return made


def only(cls: type, wanted: str) -> Callable[[Any, type], Any]:
    """Return the hook that lets through values of one type: ``True`` is no whole number."""

    def hook(value: Any, _: type) -> Any:
        if type(value) is not cls:
            raise TypeError(f"{wanted} wanted, not a {type(value).__name__}")
        return value

    return hook


def _text(value: Any, _: type) -> str:
    """Let through a text that can be sent on.

    JSON may hold half of a surrogate pair. Failure: one such name in a list makes its reader
    stumble later, where only ``MalformedError`` is passed over, and the whole list is lost.
    """
    if type(value) is not str:
        raise TypeError(f"a text is wanted, not a {type(value).__name__}")
    if not value.isascii():
        value.encode()
    return value


def _number(value: Any, _: type) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError(f"a finite number is wanted, not {str(value)[:20]}")
    return float(value)
