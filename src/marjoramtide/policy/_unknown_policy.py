"""The error for the name of an unknown policy."""

from marjoramtide.errors import ErrorCode, MarjoramtideError


def unknown_policy_error(
    key: str, value: str, allowed: tuple[str, ...], step: str
) -> MarjoramtideError:
    """Return the error for a policy name that isn't in ``allowed``."""
    message = f"{key}: {value!r} is not one of {', '.join(allowed)}"
    return MarjoramtideError(ErrorCode.BAD_SETTINGS, message, step=step)
