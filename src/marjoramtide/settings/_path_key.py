"""A key whose value is the path of a URL."""

import re
from typing import Any

import attrs

from marjoramtide.settings._key_spec import KeySpec

PATH = re.compile(r"/[!-~]{0,254}")


@attrs.frozen(slots=True, kw_only=True)
class PathKey(KeySpec):
    """A URL path, or the empty string if ``optional`` is true."""

    optional: bool = False

    @property
    def allowed(self) -> str:
        rule = "a path of at most 255 printable characters that begins with /"
        return f"{rule}, or empty for none" if self.optional else rule

    def accepts(self, value: Any) -> bool:
        if self.optional and value == "":
            return True
        return isinstance(value, str) and PATH.fullmatch(value) is not None
