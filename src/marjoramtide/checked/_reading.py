"""Strict decoding of JSON and conversion to attrs classes."""

import functools
import json
import math
from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, TypeVar

import cattrs

T = TypeVar("T")

# Reasons are truncated, since they go into logs and responses and may quote the input.
MAX_REASON_CHARACTERS = 200
# Types whose values are never converted, and what error messages call them.
EXACT_TYPES = {
    bytes: "bytes",
    bool: "true or false",
    int: "a whole number",
}


class MalformedError(ValueError):
    """The input does not have the expected form; the message says why."""


def parse_json(data: bytes | str) -> Any:
    """Decode JSON; raises ``MalformedError`` for invalid input."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        # RecursionError is raised for deeply nested input.
        raise MalformedError(f"invalid JSON: {type(error).__name__}") from error


def structure_as(cls: type[T], raw: Any) -> T:
    """Convert dicts and lists to an attrs class, checking its field types and validators.

    Plain values are not converted: neither the text ``"18"`` nor ``true`` is a number, and a list
    is not a text. Unknown fields are ignored, since other programs may add some. Raises
    ``MalformedError``, which names the wrong or missing fields. For example,
    ``structure_as(Point, {"x": 1, "y": 2})`` returns ``Point(1, 2)``.
    """
    try:
        return plain_converter().structure(raw, cls)
    except Exception as error:
        # Any error of the converter is caused by the input.
        raise MalformedError(
            validation_errors(cls, raw) or repr(error)[:MAX_REASON_CHARACTERS]
        ) from error


def validation_errors(cls: type[Any], raw: Any) -> str:
    """Return which fields are wrong, in words that operators understand."""
    try:
        detailed_converter().structure(raw, cls)
    except cattrs.BaseValidationError as error:
        return "; ".join(cattrs.transform_error(error))[:MAX_REASON_CHARACTERS]
    except Exception as error:
        return repr(error)[:MAX_REASON_CHARACTERS]
    return ""


def rename_keys(raw: Any, field_names: Mapping[str, str]) -> dict[str, Any]:
    """Return a dict with the keys of ``raw`` renamed; keys not in ``field_names`` are dropped.

    Raises ``MalformedError`` if ``raw`` is not a dict.
    """
    if not isinstance(raw, dict):
        raise MalformedError(f"expected a table, got {type(raw).__name__}")
    return {
        own_name: raw[foreign_name]
        for foreign_name, own_name in field_names.items()
        if foreign_name in raw
    }


@functools.cache
def plain_converter() -> cattrs.BaseConverter:
    """Return the converter for regular use.

    It is not the one that generates code: that code is compiled for each class at each start of a
    node, which takes more CPU time than converting the few objects of a day.
    """
    return make_strict(cattrs.BaseConverter())


@functools.cache
def detailed_converter() -> cattrs.BaseConverter:
    """Return the converter whose errors name the wrong fields; created on the first error."""
    return make_strict(cattrs.Converter(detailed_validation=True))


def make_strict(converter: cattrs.BaseConverter) -> cattrs.BaseConverter:
    """Make a converter reject plain values of a wrong type."""
    for cls, expected in EXACT_TYPES.items():
        converter.register_structure_hook(cls, exact_type_hook(cls, expected))
    converter.register_structure_hook(str, text_hook)
    converter.register_structure_hook(float, finite_number_hook)
    # Otherwise the hook for str would apply and accept texts that are not members of the enum.
    converter.register_structure_hook(StrEnum, lambda value, cls: cls(value))
    return converter


def exact_type_hook(cls: type, expected: str) -> Callable[[Any, type], Any]:
    """Return a hook that only accepts values of exactly one type: ``True`` is not an int."""

    def hook(value: Any, _: type) -> Any:
        if type(value) is not cls:
            raise TypeError(f"expected {expected}, got {type(value).__name__}")
        return value

    return hook


def text_hook(value: Any, _: type) -> str:
    """Accept only texts that can be encoded as UTF-8.

    JSON may contain a lone surrogate. One such name in a list would raise another error than
    ``MalformedError`` when it is encoded later, and the whole list would be lost.
    """
    if type(value) is not str:
        raise TypeError(f"expected a text, got {type(value).__name__}")
    if not value.isascii():
        value.encode()
    return value


def finite_number_hook(value: Any, _: type) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError(f"expected a finite number, got {str(value)[:20]}")
    return float(value)
