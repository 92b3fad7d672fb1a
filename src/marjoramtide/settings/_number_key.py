"""A key with a numeric value."""

import math
from typing import Any

import attrs

from marjoramtide.settings._key_spec import KeySpec


@attrs.frozen(slots=True, kw_only=True)
class NumberKey(KeySpec):
    """An integer within limits, or any number if ``allows_fraction`` is true."""

    minimum: float
    maximum: float
    allows_fraction: bool = False

    @property
    def allowed(self) -> str:
        kind = "a number" if self.allows_fraction else "a whole number"
        return f"{kind} from {self.minimum} to {self.maximum}"

    def accepts(self, value: Any) -> bool:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return False
        if isinstance(value, float) and not (self.allows_fraction and math.isfinite(value)):
            return False
        return self.minimum <= value <= self.maximum

    def normalise(self, value: Any) -> Any:
        return float(value) if self.allows_fraction else value
