"""Values resolved through the tree, each with the branch it comes from."""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from marjoramtide.settings._branch import Branch
from marjoramtide.settings._locality import Locality
from marjoramtide.settings._schema import DEFAULTS

DEFAULT = "default"
# Each pair: the first key must not exceed the second.
ORDERED = (
    ("timeout_ms", "max_timeout_ms"),
    ("min_limit", "slots"),
    ("slots", "connections"),
)


def precedence(place: Locality, service: str, route: str | None) -> Iterator[Branch]:
    """Yield the branches that apply, the least specific first; later ones override earlier ones."""
    region, data_centre = place.region, place.data_centre
    wheres = [("", ""), (region, ""), (region, data_centre)]
    for where in dict.fromkeys(wheres):
        yield Branch(*where)
    if not service:
        return
    for where in dict.fromkeys(wheres):
        yield Branch(*where, service)
        if route is not None:
            yield Branch(*where, service, route)


@attrs.frozen(slots=True)
class Resolved:
    """The values in force somewhere, and from where each one comes.

    ``origins`` holds the path of a branch for each key, or ``default``.
    """

    values: dict[str, Any]
    origins: dict[str, str]

    @classmethod
    def of(cls, chain: Iterable[tuple[Branch, dict[str, Any]]]) -> "Resolved":
        values = dict(DEFAULTS)
        origins = dict.fromkeys(DEFAULTS, DEFAULT)
        for branch, own in chain:
            values.update(own)
            origins.update(dict.fromkeys(own, str(branch)))
        return cls(values, origins)

    def problems(self) -> list[str]:
        """Return where values contradict each other, with the branches that set them."""
        found = [
            f"{self._describe(low)} is more than {self._describe(high)}"
            for low, high in ORDERED
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
