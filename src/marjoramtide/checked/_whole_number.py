"""Whole numbers in what other nodes send."""

BELOW_64_BITS = 1 << 64


def is_unsigned_int(value: object, below: int = BELOW_64_BITS) -> bool:
    """Tell whether a value is a whole number from 0 on and ``below`` this; ``True`` is none."""
    return type(value) is int and 0 <= value < below
