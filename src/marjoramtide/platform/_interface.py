"""The interface of a node that runs on the platform."""

import tomllib
from pathlib import Path
from typing import Any

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.interface import Interface
from marjoramtide.platform._apps import make_readiness_app, make_registration_app
from marjoramtide.platform._backends import PlatformBackendProtocol
from marjoramtide.platform._bounds import Bounds, read_bounds
from marjoramtide.platform._callers import PlatformCallerProtocol
from marjoramtide.platform._configuration import OperatorConfiguration
from marjoramtide.platform._store_protocol import PlatformStoreProtocol
from marjoramtide.settings import NodeSettings

# The platform checks readiness every second and redirects callers after two failed checks, which
# takes at most this time after the node is no longer ready.
READINESS_LAG_S = 2.2
# The key prefix of the operator's evacuations, one object for each evacuated data centre.
EVACUATION_PREFIX = "evacuations/"


def platform_interface(settings: NodeSettings) -> Interface:
    """Return the platform's interface; raises ``bad-settings`` for invalid settings."""
    try:
        bounds = read_bounds(settings.bounds)
    except ValueError as error:
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS, f"bounds: {error}", step="settings.load"
        ) from error
    return Interface(
        store=PlatformStoreProtocol(),
        tree=OperatorConfiguration(
            read_base_tree(settings.base_tree)
            | second_try_settings(bounds)
            | cold_server_settings(bounds)
            | revocation_settings(bounds)
        ),
        callers=PlatformCallerProtocol(settings.service),
        backend=PlatformBackendProtocol(),
        readiness_app=make_readiness_app,
        registration_app=make_registration_app,
        stop_grace_s=bounds.stop_grace_s,
        stop_linger_s=READINESS_LAG_S,
        uses_idempotency_keys=False,
        evacuations=EVACUATION_PREFIX if bounds.evacuation_ms is not None else "",
    )


def second_try_settings(bounds: Bounds) -> dict[str, float]:
    """Return the settings that limit the second attempts of all nodes together."""
    if bounds.retry_ratio is None or bounds.retry_slack is None or not bounds.retry_window_s:
        return {}
    return {
        "second_try_ratio": bounds.retry_ratio,
        "second_tries_per_s": bounds.retry_slack / bounds.retry_window_s,
    }


def cold_server_settings(bounds: Bounds) -> dict[str, float]:
    """Return the settings that limit the requests to a cold backend server."""
    values = {"cold_excess": bounds.cold_excess, "cold_slack": bounds.cold_slack}
    return {key: value for key, value in values.items() if value is not None}


def revocation_settings(bounds: Bounds) -> dict[str, float]:
    """Return the setting that limits for how long a revoked key may be accepted."""
    if bounds.revoke_ms is None:
        return {}
    return {"revocation_s": bounds.revoke_ms / 1000}


def read_base_tree(path: str) -> dict[str, Any]:
    """Read the tables that the operator's configuration is merged over; none without a path."""
    if not path:
        return {}
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS, f"base_tree: {path}: {error}", step="settings.load"
        ) from error
