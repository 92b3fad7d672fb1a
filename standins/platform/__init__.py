"""Stand-ins for the users' platform: its store, backend servers and templates."""

from standins.platform._backend import PlatformBackendServer, start_platform_backend
from standins.platform._registrant import RegistrationClient
from standins.platform._store import PlatformStoreServer
from standins.platform._store_fault import FaultKind, StoreFault
from standins.platform._store_state import PlatformStoreState
from standins.platform._template import render_template

__all__ = [
    "FaultKind",
    "PlatformBackendServer",
    "PlatformStoreServer",
    "PlatformStoreState",
    "RegistrationClient",
    "StoreFault",
    "render_template",
    "start_platform_backend",
]
