"""The default interface, defined by this project."""

from marjoramtide.clock import SystemClock
from marjoramtide.ingress import DefaultCallerProtocol
from marjoramtide.interface._interface import Interface
from marjoramtide.serving import DefaultBackendProtocol, RequestTokens
from marjoramtide.settings.sync import OwnTreeSource
from marjoramtide.store import DefaultStoreProtocol


def default_interface() -> Interface:
    """Return the project's default protocols for all parties."""
    tokens = RequestTokens(SystemClock())
    return Interface(
        DefaultStoreProtocol(),
        OwnTreeSource(),
        DefaultCallerProtocol(),
        DefaultBackendProtocol(tokens),
        runs=tokens,
    )
