"""Timed events of a trace, such as faults and replacements."""

from typing import Any

import attrs

ACTIONS = ("faults", "replace", "stop", "kill", "store")


@attrs.frozen(slots=True)
class Event:
    """An entry of a timeline.

    ``target`` names backend servers: ``mapdesk/3``, ``mapdesk/*`` or ``data_centre/lautoka-hall``.
    The action ``faults`` injects faults into their stand-ins, ``store`` into the store stand-in.
    ``replace`` stops node and backend server gracefully and restarts both with ``faults``, ``stop``
    only stops them, and ``kill`` kills the node and breaks the backend server's connections.
    """

    at_s: float
    action: str = attrs.field(validator=attrs.validators.in_(ACTIONS))
    target: str = ""
    faults: dict[str, Any] = attrs.field(factory=dict)
