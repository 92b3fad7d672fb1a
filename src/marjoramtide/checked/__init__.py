"""Strict decoding of input that other programs may have written."""

from marjoramtide.checked._reading import MalformedError, parse_json, rename_keys, structure_as
from marjoramtide.checked._whole_number import is_unsigned_int

__all__ = ["MalformedError", "is_unsigned_int", "parse_json", "rename_keys", "structure_as"]
