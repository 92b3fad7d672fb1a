"""Exit statuses, a stable interface for scripts."""

from enum import IntEnum

from marjoramtide.errors import ErrorCode


class ExitCode(IntEnum):
    """The result of a command; the numbers are stable."""

    DONE = 0
    INTERNAL = 1
    USAGE = 2
    REJECTED = 3
    NOT_IN_FORCE = 4
    UNAVAILABLE = 5
    UNKNOWN = 6


_EXIT_CODES = {
    ErrorCode.INTERNAL: ExitCode.INTERNAL,
    ErrorCode.NOT_IN_FORCE: ExitCode.NOT_IN_FORCE,
    ErrorCode.STORE_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorCode.STORE_THROTTLED: ExitCode.UNAVAILABLE,
    ErrorCode.CONNECT_FAILED: ExitCode.UNAVAILABLE,
    ErrorCode.PEER_LOST: ExitCode.UNAVAILABLE,
    ErrorCode.STORE_AMBIGUOUS: ExitCode.UNKNOWN,
}


def exit_code_of(code: ErrorCode) -> ExitCode:
    """Return the exit status for an error; by default ``REJECTED``, nothing was changed."""
    return _EXIT_CODES.get(code, ExitCode.REJECTED)
