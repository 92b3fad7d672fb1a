"""Steps that read the sources of the adapter and of the rest."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from behave import then  # type: ignore[attr-defined]

SOURCES = Path(__file__).resolve().parents[2] / "src" / "marjoramtide"
ADAPTER = SOURCES / "platform"
WIRE_NAME = re.compile(r"X-[A-Za-z-]+|[A-Z][a-z]+(?:[A-Z][a-z]*)+")
DECIDING = ("marjoramtide.policy", "marjoramtide.clock", "random", "time", "asyncio")


def constants(path: Path) -> Iterator[str]:
    """Yield the strings of a module, docstrings aside."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    prose = {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in prose:
            yield node.value


def wire_names() -> set[str]:
    """Return the names that the adapter decodes."""
    found = (text for path in ADAPTER.glob("*.py") for text in constants(path))
    return {text for text in found if WIRE_NAME.fullmatch(text)}


@then("no name of the wire stands outside of the adapter")
def only_in_adapter(context: Any) -> None:
    names = wire_names()
    assert len(names) > 20, names
    found = [
        (str(path.relative_to(SOURCES)), text)
        for path in sorted(SOURCES.rglob("*.py"))
        if ADAPTER not in path.parents
        for text in constants(path)
        if text in names
    ]
    assert not found, found


@then("the adapter imports neither decisions nor clocks, chance or the event loop")
def decides_nothing(context: Any) -> None:
    found = []
    for path in ADAPTER.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            found += [(path.name, name) for name in names if name in DECIDING]
    assert not found, found
