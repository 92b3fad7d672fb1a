"""Values resolved through the tree, each with the branch it comes from."""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from marjoramtide.settings._branch import Branch
from marjoramtide.settings._locality import Locality
from marjoramtide.settings._schema import DEFAULTS

DEFAULT_ORIGIN = "default"
# In each pair, the value of the first key must not exceed that of the second.
ORDERED_KEYS = (
    ("timeout_ms", "max_timeout_ms"),
    ("min_limit", "slots"),
    ("slots", "connections"),
)


def precedence(locality: Locality, service: str, route: str | None) -> Iterator[Branch]:
    """Yield the branches that apply, the least specific first; later ones override earlier ones."""
    region, data_centre = locality.region, locality.data_centre
    scopes = [("", ""), (region, ""), (region, data_centre)]
    for scope in dict.fromkeys(scopes):
        yield Branch(*scope)
    if not service:
        return
    for scope in dict.fromkeys(scopes):
        yield Branch(*scope, service)
        if route is not None:
            yield Branch(*scope, service, route)


@attrs.frozen(slots=True)
class ResolvedValues:
    """The values in force for a target, and the origin of each.

    ``origins`` maps each key to the path of the branch that sets it, or to ``default``.
    """

    values: dict[str, Any]
    origins: dict[str, str]

    @classmethod
    def from_chain(cls, chain: Iterable[tuple[Branch, dict[str, Any]]]) -> "ResolvedValues":
        values = dict(DEFAULTS)
        origins = dict.fromkeys(DEFAULTS, DEFAULT_ORIGIN)
        for branch, own in chain:
            values.update(own)
            origins.update(dict.fromkeys(own, str(branch)))
        return cls(values, origins)

    def problems(self) -> list[str]:
        """Return the contradictions between values, with the branches that set them."""
        found = [
            f"{self._describe(low)} is more than {self._describe(high)}"
            for low, high in ORDERED_KEYS
            if self.values[low] > self.values[high]
        ]
        if self.values["urgent_slots"] >= self.values["slots"]:
            found.append(
                f"{self._describe('urgent_slots')} leaves no slot for routine requests of "
                f"{self._describe('slots')}; allowed: fewer than slots"
            )
        return found

    def _describe(self, key: str) -> str:
        return f"{key} = {self.values[key]} (from {self.origins[key]})"
