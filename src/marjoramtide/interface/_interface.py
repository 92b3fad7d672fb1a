"""The set of protocols that a node speaks with others than its peers."""

from collections.abc import Callable

import attrs
from aiohttp import web

from marjoramtide.ingress import CallerProtocol
from marjoramtide.serving import BackendProtocol, Registrar, RequestTokens
from marjoramtide.settings.sync import TreeSource
from marjoramtide.store import StoreProtocol


@attrs.frozen(slots=True)
class Interface:
    """One protocol for each party.

    ``registration_app`` makes the HTTP application at which the backend server registers, ``None``
    where it doesn't and is taken for registered; ``readiness_app`` the one that tells whether
    callers may be sent here. ``stop_grace_s`` is how long a planned stop may take, in seconds,
    where the interface tells it; for ``stop_linger_s`` of it callers may still be sent here, since
    whoever sends them has not yet noticed. ``takes_keys`` is false where no caller ever sends an
    idempotency key, so that there are no claims to keep or to clean. ``evacuations`` is the prefix
    of the store's objects that name evacuated data centres, empty where there are none. ``runs``
    finds the run that a call names; without it calls name the identity of its request.
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
