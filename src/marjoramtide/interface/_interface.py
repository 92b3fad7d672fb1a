"""The set of protocols that a node speaks with everything but other nodes."""

from collections.abc import Callable

import attrs
from aiohttp import web

from marjoramtide.ingress import CallerProtocol
from marjoramtide.serving import BackendProtocol, Registrar, RequestTokens
from marjoramtide.settings.sync import TreeSource
from marjoramtide.store import StoreProtocol


@attrs.frozen(slots=True)
class Interface:
    """The protocols with all other parties.

    ``registration_app`` creates the HTTP application at which the backend server registers, or is
    ``None`` if the backend server always counts as registered. ``readiness_app`` creates the one
    that reports whether callers may be sent here. ``stop_grace_s`` is how long a planned stop may
    take, in seconds, if the interface specifies it; during the first ``stop_linger_s`` callers may
    still be sent here, as the stop is not noticed yet. ``uses_idempotency_keys`` is false
    if no caller ever sends an idempotency key, so that there are no claims to keep or clean up.
    ``evacuations`` is the prefix of the store's objects that name evacuated data centres, empty if
    there are none. ``runs`` finds the run that a call refers to; without it, calls refer to the
    identity of the run's request.
    """

    store: StoreProtocol
    tree: TreeSource
    callers: CallerProtocol
    backend: BackendProtocol
    readiness_app: Callable[[Callable[[], bool]], web.Application] | None = None
    registration_app: Callable[[Registrar], web.Application] | None = None
    stop_grace_s: float | None = None
    stop_linger_s: float = 0.0
    uses_idempotency_keys: bool = True
    evacuations: str = "evacuations/"
    runs: RequestTokens | None = None
