"""All that a node needs to run on the platform."""

import tomllib
from pathlib import Path
from typing import Any

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.interface import Interface
from marjoramtide.platform._apps import make_readiness_app, make_registration_app
from marjoramtide.platform._backends import PlatformBackend
from marjoramtide.platform._bounds import Bounds, read_bounds
from marjoramtide.platform._callers import PlatformCallers
from marjoramtide.platform._configuration import OperatorConfiguration
from marjoramtide.platform._store_protocol import PlatformStore
from marjoramtide.settings import NodeSettings

# The platform asks for readiness once a second and sends callers elsewhere after two refusals; they
# come within this time of the first one, in seconds.
READINESS_MISSES_S = 2.2
# The kind of the operator's entries, one for each data centre that is to get nothing.
EVACUATIONS = "evacuations/"


def platform_interface(settings: NodeSettings) -> Interface:
    """Return the platform's interface; raises ``bad-settings`` for a base tree that isn't one."""
    try:
        bounds = read_bounds(settings.bounds)
    except ValueError as error:
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS, f"bounds: {error}", step="settings.load"
        ) from error
    return Interface(
        store=PlatformStore(),
        tree=OperatorConfiguration(
            read_base(settings.base_tree)
            | second_tries(bounds)
            | cold_servers(bounds)
            | revocation(bounds)
        ),
        callers=PlatformCallers(settings.service),
        backend=PlatformBackend(),
        readiness_app=make_readiness_app,
        registration_app=make_registration_app,
        stop_grace_s=bounds.stop_grace_s,
        stop_linger_s=READINESS_MISSES_S,
        uses_idempotency_keys=False,
        evacuations=EVACUATIONS if bounds.evacuation_ms is not None else "",
    )


def second_tries(bounds: Bounds) -> dict[str, float]:
    """Return the settings that bound what all nodes together send beyond first tries."""
    if bounds.retry_ratio is None or bounds.retry_slack is None or not bounds.retry_window_s:
        return {}
    return {
        "second_try_ratio": bounds.retry_ratio,
        "second_tries_per_s": bounds.retry_slack / bounds.retry_window_s,
    }


def cold_servers(bounds: Bounds) -> dict[str, float]:
    """Return the settings that bound what reaches a cold backend server."""
    told = {"cold_excess": bounds.cold_excess, "cold_slack": bounds.cold_slack}
    return {key: value for key, value in told.items() if value is not None}


def revocation(bounds: Bounds) -> dict[str, float]:
    """Return the setting that bounds for how long a key that was taken away may be good."""
    if bounds.revoke_ms is None:
        return {}
    return {"revocation_s": bounds.revoke_ms / 1000}


def read_base(path: str) -> dict[str, Any]:
    """Read the tree that the operator's configuration is laid over; none without a path."""
    if not path:
        return {}
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS, f"base_tree: {path}: {error}", step="settings.load"
        ) from error
