"""A key whose value is a list of digests of callers' keys."""

import re
from typing import Any

import attrs

from marjoramtide.settings._key_spec import KeySpec

DIGEST = re.compile(r"sha256:[0-9a-f]{64}")
MOST_DIGESTS = 64


@attrs.frozen(slots=True, kw_only=True)
class DigestsKey(KeySpec):
    """SHA-256 digests, since the tree is shown, stored and sent between nodes as it is."""

    @property
    def allowed(self) -> str:
        return (
            f"a list of at most {MOST_DIGESTS} different digests, each `sha256:` and 64 digits "
            "from 0 to f"
        )

    def accepts(self, value: Any) -> bool:
        return (
            isinstance(value, list)
            and len(value) <= MOST_DIGESTS
            and all(isinstance(each, str) and DIGEST.fullmatch(each) for each in value)
            and len(set(value)) == len(value)
        )

    def shown(self, value: Any) -> str:
        # Failure: an operator gives a key in place of its digest, and the error that says so brings
        # the key into logs and terminals.
        return "(not shown)"

    def normalise(self, value: Any) -> tuple[str, ...]:
        return tuple(value)
