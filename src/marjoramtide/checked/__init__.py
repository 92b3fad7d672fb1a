"""Checked reading of what other writers than this product may have written."""

from marjoramtide.checked._reading import MalformedError, read_as, read_json, renamed

__all__ = ["MalformedError", "read_as", "read_json", "renamed"]
