"""Checked reading of what other writers than this product may have written."""

from marjoramtide.checked._reading import Malformed, read_as, read_json, renamed

__all__ = ["Malformed", "read_as", "read_json", "renamed"]
