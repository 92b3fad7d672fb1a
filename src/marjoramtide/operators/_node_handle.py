"""What the operators' API needs of a node."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from marjoramtide.membership import Directory
from marjoramtide.settings.sync import SettingsService


@attrs.frozen(slots=True)
class NodeHandle:
    """The parts of a node that operators look at and steer.

    ``status`` returns what the node's other parts tell of themselves, ``explain`` what a service's
    selector believes (``members``) with its last ``decisions``, ``trace`` the spans kept of a
    trace, ``held`` the requests that are held back, each as plain values that JSON carries.
    ``release`` lets the request with a fingerprint run again; raises ``not-found``. ``drain`` stops
    (true) or resumes (false) taking new work. ``evacuated`` returns the evacuated data centres as
    plain values; ``evacuate`` adds one, with its author, and ``take_back`` removes one; both raise
    ``not-found`` and what the store does. ``workspaces`` returns what is known of each workspace
    here, its keys by fingerprint.
    """

    settings: SettingsService
    directory: Directory
    status: Callable[[], dict[str, Any]]
    explain: Callable[[str], dict[str, list[dict[str, Any]]]]
    trace: Callable[[str], list[dict[str, Any]]]
    drain: Callable[[bool], None]
    held: Callable[[], list[dict[str, Any]]]
    release: Callable[[int], None]
    evacuated: Callable[[], Awaitable[list[dict[str, Any]]]]
    evacuate: Callable[[str, str], Awaitable[None]]
    take_back: Callable[[str], Awaitable[None]]
    workspaces: Callable[[], list[dict[str, Any]]]
