"""Errors of the product: each carries a code, the step and the peer at which it arose."""

from marjoramtide.errors._base import MarjoramtideError
from marjoramtide.errors._codes import ErrorCode

__all__ = ["ErrorCode", "MarjoramtideError"]
