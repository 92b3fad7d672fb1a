"""A key with an enumerated value."""

from typing import Any

import attrs

from marjoramtide.settings._key_spec import KeySpec


@attrs.frozen(slots=True, kw_only=True)
class ChoiceKey(KeySpec):
    """One of ``choices``."""

    choices: tuple[str, ...]

    @property
    def allowed(self) -> str:
        return "one of " + ", ".join(self.choices)

    def accepts(self, value: Any) -> bool:
        return isinstance(value, str) and value in self.choices
