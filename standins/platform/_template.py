"""The platform's templates, which render a machine's settings."""

import json
import re
from collections.abc import Iterator
from typing import Any

TAG = re.compile(r"\{\{([#^/]?)([^{}]+)\}\}")


def render_template(text: str, fields: dict[str, Any]) -> str:
    """Substitute values and repeat sections for each entry of a list or table."""
    return "".join(render_parts(iter(TAG.split(text)), [fields], "", "", True))


def render_parts(
    parts: Iterator[str], scopes: list[Any], key: str, separator: str, is_enabled: bool
) -> Iterator[str]:
    """Yield the text up to the end of a section; ``parts`` is the template split by ``TAG``."""
    for literal in parts:
        if is_enabled:
            yield literal
        kind, name = next(parts, None), next(parts, "")
        if kind is None or kind == "/":
            return
        if kind == "#":
            # A list, since the parts of the section are rendered again for each entry.
            inner = list(section_parts(parts, name))
            for entry, entry_key, last in section_entries(resolve(scopes, name)):
                entry_separator = "" if last else ","
                yield from render_parts(
                    iter(inner), [*scopes, entry], entry_key, entry_separator, is_enabled
                )
        elif is_enabled:
            yield {"@": key, ",": separator}.get(name) or render_value(resolve(scopes, name), name)


def section_parts(parts: Iterator[str], name: str) -> Iterator[str]:
    """Yield the parts of a section up to its end; sections of one name don't nest."""
    for literal in parts:
        yield literal
        kind, tag = next(parts), next(parts)
        if kind == "/" and tag == name:
            return
        yield from (kind, tag)


def section_entries(value: Any) -> Iterator[tuple[Any, str, bool]]:
    """Yield each entry of a list or table, its key and whether it is the last; or one value."""
    if value and not isinstance(value, dict | list):
        yield value, "", True
        return
    pairs = list(value.items() if isinstance(value, dict) else enumerate(value or ()))
    for number, (key, entry) in enumerate(pairs, start=1):
        yield entry, str(key), number == len(pairs)


def resolve(scopes: list[Any], name: str) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for step in name.split("."):
            if isinstance(value, dict):
                value = value.get(step)
            elif isinstance(value, list) and step.isdecimal() and int(step) < len(value):
                value = value[int(step)]
            else:
                value = None
        if value is not None:
            return value
    return None


def render_value(value: Any, name: str) -> str:
    if value is None or name in ("@", ","):
        return ""
    if isinstance(value, dict):
        return json.dumps(value)
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)
