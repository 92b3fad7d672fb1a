"""A key that splits requests between services by weight."""

from typing import Any

import attrs

from marjoramtide.settings._branch import NAME
from marjoramtide.settings._key_spec import KeySpec

MAX_SERVICES = 32
MAX_WEIGHT = 1_000_000


@attrs.frozen(slots=True, kw_only=True)
class SplitKey(KeySpec):
    """Services and their weights; an empty table if requests aren't split."""

    @property
    def allowed(self) -> str:
        return (
            f"a table of at most {MAX_SERVICES} services with whole weights from 0 to "
            f"{MAX_WEIGHT}, not all of them 0"
        )

    def accepts(self, value: Any) -> bool:
        if not isinstance(value, dict) or len(value) > MAX_SERVICES:
            return False
        is_valid = all(
            NAME.fullmatch(service)
            and isinstance(weight, int)
            and not isinstance(weight, bool)
            and 0 <= weight <= MAX_WEIGHT
            for service, weight in value.items()
        )
        return is_valid and (not value or any(value.values()))

    def normalise(self, value: Any) -> tuple[tuple[str, int], ...]:
        return tuple(value.items())
