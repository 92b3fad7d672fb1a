"""Readable messages for data that cattrs could not structure."""

import cattrs
from cattrs.v import format_exception


def validation_messages(error: Exception) -> str:
    """Return each error with its path; for a value out of range also the allowed range."""
    if not isinstance(error, cattrs.BaseValidationError):
        return str(error)
    return "; ".join(cattrs.transform_error(error, format_exception=format_problem))


def format_problem(error: BaseException, expected_type: type | None) -> str:
    if isinstance(error, ValueError) and error.args:
        return str(error.args[0])
    return format_exception(error, expected_type)
