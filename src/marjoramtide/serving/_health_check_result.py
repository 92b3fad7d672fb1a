"""Result of a health check of the backend server."""

import attrs

from marjoramtide.exchange import ServerStatement
from marjoramtide.serving._backend_state import BackendState
from marjoramtide.serving._response_metadata import NOTHING_STATED
from marjoramtide.serving._server_load import ServerLoad


@attrs.frozen(slots=True)
class HealthCheckResult:
    """The state of the server, its stated identity (or empty), and its load if it reports one.

    ``is_reachable`` is false if the endpoint did not respond. ``cold_remaining_s`` is the rest of
    the server's cold start, ``None`` if not stated. ``statement`` holds the stated limits, and
    ``malformed`` the header lines of statements that are invalid.
    """

    state: BackendState
    instance: str = ""
    load: ServerLoad | None = None
    is_reachable: bool = True
    cold_remaining_s: float | None = None
    statement: ServerStatement = NOTHING_STATED
    malformed: tuple[str, ...] = ()
