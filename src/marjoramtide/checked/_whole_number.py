"""Checks of whole numbers in messages from other nodes."""

BELOW_64_BITS = 1 << 64


def is_unsigned_int(value: object, below: int = BELOW_64_BITS) -> bool:
    """Return whether a value is an int from 0 to below ``below``; ``True`` is not an int here."""
    return type(value) is int and 0 <= value < below
