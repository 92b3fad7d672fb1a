"""Stand-ins that speak what the users' platform and its backend servers speak."""

from standins.platform._backend import PlatformBackendServer, start_platform_backend
from standins.platform._registrant import Registrant
from standins.platform._store import PlatformStoreServer
from standins.platform._store_state import PlatformStoreState
from standins.platform._template import fill

__all__ = [
    "PlatformBackendServer",
    "PlatformStoreServer",
    "PlatformStoreState",
    "Registrant",
    "fill",
    "start_platform_backend",
]
