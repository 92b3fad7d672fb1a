"""How the platform fills a text with a machine's settings."""

import json
import re
from collections.abc import Iterator
from typing import Any

TAG = re.compile(r"\{\{([#^/]?)([^{}]+)\}\}")


def render_template(text: str, fields: dict[str, Any]) -> str:
    """Return the text with values, and with sections repeated for each entry of a list or table."""
    return "".join(render(iter(TAG.split(text)), [fields], "", "", True))


def render(
    parts: Iterator[str], scopes: list[Any], key: str, comma: str, wanted: bool
) -> Iterator[str]:
    """Yield the pieces up to the end of a section; ``parts`` is what splitting by tags gave."""
    for literal in parts:
        if wanted:
            yield literal
        kind, name = next(parts, None), next(parts, "")
        if kind is None or kind == "/":
            return
        if kind == "#":
            # The section's own pieces are kept, since each entry goes through them anew.
            inner = list(section(parts, name))
            for entry, each_key, last in entries(look_up(scopes, name)):
                following = "" if last else ","
                yield from render(iter(inner), [*scopes, entry], each_key, following, wanted)
        elif wanted:
            yield {"@": key, ",": comma}.get(name) or plain(look_up(scopes, name), name)


def section(parts: Iterator[str], name: str) -> Iterator[str]:
    """Yield the pieces of a section up to its end; sections don't nest under one name."""
    for literal in parts:
        yield literal
        kind, tag = next(parts), next(parts)
        if kind == "/" and tag == name:
            return
        yield from (kind, tag)


def entries(value: Any) -> Iterator[tuple[Any, str, bool]]:
    """Yield each entry of a list or table with its key, and whether it is the last one."""
    pairs = list(value.items() if isinstance(value, dict) else enumerate(value or ()))
    for number, (key, entry) in enumerate(pairs, start=1):
        yield entry, str(key), number == len(pairs)


def look_up(scopes: list[Any], name: str) -> Any:
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


def plain(value: Any, name: str) -> str:
    if value is None or name in ("@", ","):
        return ""
    if isinstance(value, dict):
        return json.dumps(value)
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)
