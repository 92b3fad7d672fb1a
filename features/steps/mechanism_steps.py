"""Steps for measuring the effect of mechanisms."""

from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from pathlib import Path
from typing import Any

import attrs
from behave import given, then, when  # type: ignore[attr-defined]

from bench.model._ablation import ablate
from bench.model._experiment import make_jobs, run_jobs
from bench.model._mechanism import Mechanism
from bench.model._mechanisms import MECHANISMS

SOURCES = Path(__file__).resolve().parents[2] / "src"
PROCESSES = 2
SEEDS = 3


def can_be_disabled(mechanism: Mechanism) -> bool:
    """Disable it in a process of its own, so that it stays enabled here."""
    with ProcessPoolExecutor(1, initializer=mechanism.disable) as pool:
        try:
            return pool.submit(int).result() == 0
        except BrokenProcessPool:
            return False


@given("the mechanisms that are measured")
def given_mechanisms(context: Any) -> None:
    context.mechanisms = MECHANISMS


@then("each of them can be disabled, and its source is in the module that the table names")
def then_each(context: Any) -> None:
    failed = [each.name for each in context.mechanisms if not can_be_disabled(each)]
    assert not failed, failed
    for each in context.mechanisms:
        text = (SOURCES / (each.module.replace(".", "/") + ".py")).read_text()
        assert each.target.rpartition(".")[2] in text, each


@then("a mechanism whose target does not exist is refused")
def then_refused(context: Any) -> None:
    wrong = attrs.evolve(context.mechanisms[0], target=context.mechanisms[0].target + "s")
    assert not can_be_disabled(wrong)


@when("it is simulated with and without waiting for the server's pace, on seeds 1 to 3")
def when_without(context: Any) -> None:
    jobs = make_jobs([context.deployment], SEEDS, {})
    baseline_runs = list(run_jobs(jobs, PROCESSES))
    mechanism = next(each for each in MECHANISMS if each.name == "wait for the server's pace")
    context.ablation = ablate(mechanism, jobs, baseline_runs, PROCESSES)


@then("the row of the table shows a loss of in_goal")
def then_row(context: Any) -> None:
    assert context.ablation.differences[0].mean < 0, context.ablation
    assert str(context.ablation).startswith("| wait for the server's pace | "), context.ablation
