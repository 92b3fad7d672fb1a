"""A key whose value is a list of API key digests."""

import re
from typing import Any

import attrs

from marjoramtide.settings._key_spec import KeySpec

DIGEST = re.compile(r"sha256:[0-9a-f]{64}")
MAX_DIGESTS = 64


@attrs.frozen(slots=True, kw_only=True)
class DigestsKey(KeySpec):
    """SHA-256 digests, not keys: the tree is displayed, stored and sent between nodes in clear."""

    @property
    def allowed(self) -> str:
        return (
            f"a list of at most {MAX_DIGESTS} different digests, each `sha256:` and 64 digits "
            "from 0 to f"
        )

    def accepts(self, value: Any) -> bool:
        return (
            isinstance(value, list)
            and len(value) <= MAX_DIGESTS
            and all(isinstance(each, str) and DIGEST.fullmatch(each) for each in value)
            and len(set(value)) == len(value)
        )

    def describe_value(self, value: Any) -> str:
        # Failure: an operator enters a key instead of its digest, and the error message exposes the
        # key in logs and terminals.
        return "(not shown)"

    def normalise(self, value: Any) -> tuple[str, ...]:
        return tuple(value)
