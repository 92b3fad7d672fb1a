"""The error for a policy that there is none of."""

from marjoramtide.errors import ErrorCode, MarjoramtideError


def unknown_policy_error(
    key: str, value: str, allowed: tuple[str, ...], step: str
) -> MarjoramtideError:
    """Return the error for a policy of a name that there is none of."""
    message = f"{key}: {value!r} is not one of {', '.join(allowed)}"
    return MarjoramtideError(ErrorCode.BAD_SETTINGS, message, step=step)
