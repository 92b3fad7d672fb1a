"""Expected outcomes of a trace."""

import tomllib
from collections.abc import Sequence
from pathlib import Path

import attrs
import cattrs

from bench.replay._policies import DIRECT
from bench.replay._run_result import METRICS, WHOLE_TRACE, RunResult
from bench.replay._trace import OUTCOMES_SUFFIX, TRACES
from bench.replay._verdict import Verdict

GUARANTEES = ("duplicates", "false_not_run", "wrong", "unrun")
BEST_BASELINE = "best-baseline"


@attrs.frozen(slots=True)
class Expectation:
    """A bound on a metric of a run, absolute or relative to another policy or window.

    It applies to the run under ``policy``. The bound is ``at_most`` or ``at_least``; if ``of`` or
    ``of_window`` is given, it is multiplied by the same metric under the policy ``of`` or in that
    window. In ``of``, ``best-baseline`` is the best of all other selectors. Windows are fractions
    of the trace.
    """

    name: str
    metric: str = attrs.field(validator=attrs.validators.in_(list(METRICS)))
    label: str = ""
    policy: str = "predicted"
    at_most: float | None = None
    at_least: float | None = None
    of: str = ""
    window: tuple[float, float] = WHOLE_TRACE
    of_window: tuple[float, float] | None = None

    def check(self, runs: dict[str, RunResult]) -> Verdict:
        """Check this outcome against the runs of one trace, by policy."""
        own = runs.get(self.policy)
        references = self.references(runs)
        if own is None or references is None:
            return Verdict(self.name, None, "a compared policy was not run")
        if self.metric not in GUARANTEES and any(
            run.is_load_tool_late() for run in [own, *references]
        ):
            return Verdict(self.name, None, "the load tool sent late: the machine is busy")
        value = METRICS[self.metric](own, self.label, self.window)
        reference = self.reference(references)
        if self.at_most is not None:
            bound = self.at_most * reference
            met = value <= bound and value < float("inf")
        else:
            least = self.at_least or 0.0
            bound, met = least * reference, value >= least * reference
        sign = "<=" if self.at_most is not None else ">="
        text = f"{self.metric} {value:.4g}, expected {sign} {bound:.4g}"
        if reference and self.relative:
            text += f" (ratio {value / reference:.3g})"
        return Verdict(self.name, met, text)

    @property
    def relative(self) -> bool:
        return bool(self.of) or self.of_window is not None

    def references(self, runs: dict[str, RunResult]) -> list[RunResult] | None:
        """Return the runs to compare with, or ``None`` if there are none."""
        if self.of == BEST_BASELINE:
            others = [run for policy, run in runs.items() if policy not in (self.policy, DIRECT)]
            return others or None
        named = runs.get(self.of or self.policy)
        return None if named is None else [named]

    def reference(self, references: Sequence[RunResult]) -> float:
        if not self.relative:
            return 1.0
        window = self.of_window or self.window
        values = [METRICS[self.metric](run, self.label, window) for run in references]
        return min(values) if self.at_most is not None else max(values)


def load_expectations(trace: str, folder: Path = TRACES) -> list[Expectation]:
    """Load the expected outcomes of a trace; raises ``ValueError`` with the file name."""
    path = folder / f"{trace}{OUTCOMES_SUFFIX}"
    try:
        raw = tomllib.loads(path.read_text())
        converter = cattrs.Converter(forbid_extra_keys=True)
        return converter.structure(raw["outcomes"], list[Expectation])
    except (OSError, KeyError, tomllib.TOMLDecodeError, cattrs.BaseValidationError) as error:
        notes = cattrs.transform_error(error) if isinstance(error, ExceptionGroup) else [str(error)]
        raise ValueError(f"{path}: {'; '.join(notes)}") from error


def guarantees(policy: str) -> list[Expectation]:
    """Return the outcomes that every trace must have under every policy."""
    return [
        Expectation(name=f"no {metric} under {policy}", metric=metric, policy=policy, at_most=0)
        for metric in GUARANTEES
    ]
