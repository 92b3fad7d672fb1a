"""Errors of the project, each with a code, a step and a peer."""

from marjoramtide.errors._base import MarjoramtideError
from marjoramtide.errors._codes import ErrorCode

__all__ = ["ErrorCode", "MarjoramtideError"]
