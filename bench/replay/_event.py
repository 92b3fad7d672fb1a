"""Something that happens to the site at a time of the trace."""

from typing import Any

import attrs

ACTIONS = ("faults", "replace", "stop", "kill", "store")


@attrs.frozen(slots=True)
class Event:
    """An entry of a timeline.

    ``target`` names backend servers: ``mapdesk/3``, ``mapdesk/*`` or ``data_centre/lautoka-hall``.
    ``faults`` tells their stand-ins to misbehave (the store's, for the action ``store``);
    ``replace`` ends node and backend server in good order and starts both anew with ``faults``;
    ``stop`` only ends them; ``kill`` ends them without warning.
    """

    at_s: float
    action: str = attrs.field(validator=attrs.validators.in_(ACTIONS))
    target: str = ""
    faults: dict[str, Any] = attrs.field(factory=dict)
