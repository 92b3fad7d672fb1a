"""What a backend server's health endpoint says."""

import attrs

from marjoramtide.exchange import ServerStatement
from marjoramtide.serving._backend_state import BackendState
from marjoramtide.serving._response_metadata import NOTHING_STATED
from marjoramtide.serving._server_load import ServerLoad


@attrs.frozen(slots=True)
class HealthCheckResult:
    """Its state, the identity it states (or empty), and its load where it tells it.

    ``answered`` is false where the endpoint could not be read. ``cold_left_s`` is for how much
    longer the server is cold, in seconds, ``None`` where it doesn't tell. ``statement`` is what it
    says that it takes, and ``malformed`` holds the statements that can't be read.
    """

    state: BackendState
    instance: str = ""
    load: ServerLoad | None = None
    is_reachable: bool = True
    cold_remaining_s: float | None = None
    statement: ServerStatement = NOTHING_STATED
    malformed: tuple[str, ...] = ()
