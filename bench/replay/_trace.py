"""Traces of arrivals and events, stored as TOML files."""

import tomllib
from pathlib import Path

import attrs
import cattrs

from bench.replay._event import Event
from bench.replay._phase import Phase
from bench.replay._site import SITES, Site

TRACES = Path(__file__).resolve().parent.parent / "traces"
OUTCOMES_SUFFIX = ".outcomes.toml"


@attrs.frozen(slots=True)
class Trace:
    """Phases of arrivals and events, from a TOML file.

    ``origin`` documents the source of the rates. ``service_factor`` multiplies the service time of
    every backend server; ``policies`` are compared in this trace in addition to the default ones.
    """

    name: str
    description: str
    origin: str
    site_name: str = attrs.field(validator=attrs.validators.in_(list(SITES)))
    seed: int
    seconds: float
    phases: list[Phase]
    events: list[Event] = attrs.field(factory=list)
    service_factor: float = 1.0
    policies: list[str] = attrs.field(factory=list)

    @property
    def site(self) -> Site:
        site = SITES[self.site_name]
        services = (
            attrs.evolve(service, service_ms=service.service_ms * self.service_factor)
            for service in site.services
        )
        return attrs.evolve(site, services=tuple(services))

    def scaled(self, seconds: float | None) -> "Trace":
        """Return the trace with another length: the rates stay, all times are scaled."""
        if seconds is None or seconds == self.seconds:
            return self
        ratio = seconds / self.seconds
        phases = [
            attrs.evolve(phase, from_s=phase.from_s * ratio, until_s=phase.until_s * ratio)
            for phase in self.phases
        ]
        events = [attrs.evolve(event, at_s=event.at_s * ratio) for event in self.events]
        return attrs.evolve(self, seconds=seconds, phases=phases, events=events)


def trace_names() -> list[str]:
    """Return the names of the committed traces."""
    files = (path.name for path in TRACES.glob("*.toml"))
    return sorted(name[:-5] for name in files if not name.endswith(OUTCOMES_SUFFIX))


def load_trace(path: Path) -> Trace:
    """Load a trace; raises ``ValueError`` with the file name and the errors in it."""
    try:
        raw = {"name": path.stem, **tomllib.loads(path.read_text())}
        return cattrs.Converter(forbid_extra_keys=True).structure(raw, Trace)
    except (tomllib.TOMLDecodeError, cattrs.BaseValidationError) as error:
        notes = cattrs.transform_error(error) if isinstance(error, ExceptionGroup) else [str(error)]
        raise ValueError(f"{path}: {'; '.join(notes)}") from error
