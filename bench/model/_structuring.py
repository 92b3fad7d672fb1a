"""What is wrong in data that could not be structured, in words."""

import cattrs
from cattrs.v import format_exception


def structuring_notes(error: Exception) -> str:
    """Return each problem with its place; for a value out of range also what is allowed."""
    if not isinstance(error, cattrs.BaseValidationError):
        return str(error)
    return "; ".join(cattrs.transform_error(error, format_exception=note_of))


def note_of(error: BaseException, wanted: type | None) -> str:
    if isinstance(error, ValueError) and error.args:
        return str(error.args[0])
    return format_exception(error, wanted)
