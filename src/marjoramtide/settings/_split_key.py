"""A key whose value shares requests out by weight."""

from typing import Any

import attrs

from marjoramtide.settings._branch import NAME
from marjoramtide.settings._key_spec import KeySpec

MOST_PARTS = 32
HEAVIEST = 1_000_000


@attrs.frozen(slots=True, kw_only=True)
class SplitKey(KeySpec):
    """Services and their weights; an empty table where requests aren't shared out."""

    @property
    def allowed(self) -> str:
        return (
            f"a table of at most {MOST_PARTS} services with whole weights from 0 to {HEAVIEST}, "
            "not all of them 0"
        )

    def accepts(self, value: Any) -> bool:
        if not isinstance(value, dict) or len(value) > MOST_PARTS:
            return False
        sound = all(
            NAME.fullmatch(service)
            and isinstance(weight, int)
            and not isinstance(weight, bool)
            and 0 <= weight <= HEAVIEST
            for service, weight in value.items()
        )
        return sound and (not value or any(value.values()))

    def normalise(self, value: Any) -> tuple[tuple[str, int], ...]:
        return tuple(value.items())
