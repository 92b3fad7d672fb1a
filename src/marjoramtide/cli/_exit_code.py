"""Exit statuses that scripts can rely on."""

from enum import IntEnum

from marjoramtide.errors import ErrorCode


class ExitCode(IntEnum):
    """How a command ended; the numbers never change."""

    DONE = 0
    INTERNAL = 1
    USAGE = 2
    REJECTED = 3
    NOT_IN_FORCE = 4
    UNAVAILABLE = 5
    UNKNOWN = 6


_OF_ERROR = {
    ErrorCode.INTERNAL: ExitCode.INTERNAL,
    ErrorCode.NOT_IN_FORCE: ExitCode.NOT_IN_FORCE,
    ErrorCode.STORE_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorCode.STORE_THROTTLED: ExitCode.UNAVAILABLE,
    ErrorCode.CONNECT_FAILED: ExitCode.UNAVAILABLE,
    ErrorCode.PEER_LOST: ExitCode.UNAVAILABLE,
    ErrorCode.STORE_AMBIGUOUS: ExitCode.UNKNOWN,
}


def exit_code_of(code: ErrorCode) -> ExitCode:
    """Return the exit status for an error; most mean that nothing was changed."""
    return _OF_ERROR.get(code, ExitCode.REJECTED)
