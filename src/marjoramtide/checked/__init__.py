"""Checked reading of what other writers than this product may have written."""

from marjoramtide.checked._reading import MalformedError, read_as, read_json, renamed
from marjoramtide.checked._whole_number import is_number

__all__ = ["MalformedError", "is_number", "read_as", "read_json", "renamed"]
