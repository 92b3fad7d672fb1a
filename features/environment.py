"""Hooks of behave that stop whatever a scenario has started when it ends."""

from contextlib import ExitStack
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the exit stack on which steps register the clean-up of what they start."""
    context.cleanup = ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    context.cleanup.close()
