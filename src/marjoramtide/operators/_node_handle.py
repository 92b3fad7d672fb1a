"""The interface between the operators' API and a node."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from marjoramtide.membership import Directory
from marjoramtide.settings.sync import SettingsService


@attrs.frozen(slots=True)
class NodeHandle:
    """The components and functions of a node that operators read and control.

    These return JSON-compatible values: ``status`` the state of the node's other components,
    ``explain`` the selector's view of a service's ``members`` with its latest ``decisions``,
    ``trace`` the retained spans of a trace, ``list_held_requests`` the requests in quarantine,
    ``list_evacuations`` the evacuated data centres, and ``list_workspaces`` each workspace with its
    usage at this node and the fingerprints of its keys.

    ``release_request`` removes the request with a fingerprint from quarantine; raises
    ``not-found``. ``drain`` stops (true) or resumes (false) accepting new requests. ``evacuate``
    adds a data centre with its author, and ``release_evacuation`` removes one; both raise
    ``not-found`` and the errors of the store.
    """

    settings: SettingsService
    directory: Directory
    status: Callable[[], dict[str, Any]]
    explain: Callable[[str], dict[str, list[dict[str, Any]]]]
    trace: Callable[[str], list[dict[str, Any]]]
    drain: Callable[[bool], None]
    list_held_requests: Callable[[], list[dict[str, Any]]]
    release_request: Callable[[int], None]
    list_evacuations: Callable[[], Awaitable[list[dict[str, Any]]]]
    evacuate: Callable[[str, str], Awaitable[None]]
    release_evacuation: Callable[[str], Awaitable[None]]
    list_workspaces: Callable[[], list[dict[str, Any]]]
