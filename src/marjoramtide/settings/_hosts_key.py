"""A key whose value is a list of host names."""

import re
from typing import Any

import attrs

from marjoramtide.settings._key_spec import KeySpec

HOST = re.compile(r"[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?|\[[0-9a-f:.]+\]")


@attrs.frozen(slots=True, kw_only=True)
class HostsKey(KeySpec):
    """The ``Host`` names of a service, without ports."""

    @property
    def allowed(self) -> str:
        return "a list of at most 64 different host names in lower case, without ports"

    def accepts(self, value: Any) -> bool:
        return (
            isinstance(value, list)
            and len(value) <= 64
            and all(isinstance(host, str) and HOST.fullmatch(host) for host in value)
            and len(set(value)) == len(value)
        )
