"""A key whose value is a number."""

import math
from typing import Any

import attrs

from marjoramtide.settings._key_spec import KeySpec


@attrs.frozen(slots=True, kw_only=True)
class NumberKey(KeySpec):
    """A whole number, or any number where ``fraction`` is true, within bounds."""

    minimum: float
    maximum: float
    fraction: bool = False

    @property
    def allowed(self) -> str:
        kind = "a number" if self.fraction else "a whole number"
        return f"{kind} from {self.minimum} to {self.maximum}"

    def accepts(self, value: Any) -> bool:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return False
        if isinstance(value, float) and not (self.fraction and math.isfinite(value)):
            return False
        return self.minimum <= value <= self.maximum

    def normalise(self, value: Any) -> Any:
        return float(value) if self.fraction else value
