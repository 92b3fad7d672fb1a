"""Generates the operators' settings reference from the schema.

``python -m marjoramtide.settings.reference > docs/operators/settings-reference.md``
"""

import itertools
from collections.abc import Iterator
from typing import Any

from marjoramtide.settings._key_spec import ROUTING_LEVELS, KeySpec
from marjoramtide.settings._level import Level
from marjoramtide.settings._schema import DEFAULTS, SCHEMA

PAGE_HEADER = """\
# Settings reference

Generated from the schema by `python -m marjoramtide.settings.reference`; don't edit it by hand.

A key can be set in a branch of any level listed for it; `all` stands for every level but
workspaces. The suffix of a key gives its unit; shares and budgets are fractions of 1.
[settings.md](settings.md) describes how branches inherit.
"""


def reference_page() -> str:
    """Return the whole page."""
    return "\n".join(_lines())


def _lines() -> Iterator[str]:
    yield PAGE_HEADER
    for group, specs in itertools.groupby(SCHEMA.values(), key=lambda spec: spec.group):
        yield f"## {group}"
        yield ""
        yield "| key | default | allowed | levels | meaning |"
        yield "|---|---|---|---|---|"
        yield from (_row(spec) for spec in specs)
        yield ""


def _row(spec: KeySpec) -> str:
    default = _toml(DEFAULTS[spec.name]) if spec.name in DEFAULTS else "the service's name"
    levels = (
        "all"
        if spec.levels == ROUTING_LEVELS
        else ", ".join(level for level in Level if level in spec.levels)
    )
    return f"| `{spec.name}` | {default} | {spec.allowed} | {levels} | {spec.meaning} |"


def _toml(value: Any) -> str:
    return f'`"{value}"`' if isinstance(value, str) else f"`{value}`"


if __name__ == "__main__":
    print(reference_page(), end="")
