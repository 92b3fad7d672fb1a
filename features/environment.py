"""Hooks of behave: whatever a scenario started is ended with it."""

from contextlib import ExitStack
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Give the scenario a stack; a step that starts something pushes its end on it."""
    context.cleanup = ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    context.cleanup.close()
