"""Steps for what mechanisms are worth."""

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


def can_be_left_out(mechanism: Mechanism) -> bool:
    """Leave it out in a process of its own, so that nothing is missing here."""
    with ProcessPoolExecutor(1, initializer=mechanism.leave_out) as pool:
        try:
            return pool.submit(int).result() == 0
        except BrokenProcessPool:
            return False


@given("the mechanisms that are measured")
def given_mechanisms(context: Any) -> None:
    context.mechanisms = MECHANISMS


@then("each of them can be left out, and its source is where the table says")
def then_each(context: Any) -> None:
    left = [each.name for each in context.mechanisms if not can_be_left_out(each)]
    assert not left, left
    for each in context.mechanisms:
        text = (SOURCES / (each.module.replace(".", "/") + ".py")).read_text()
        assert each.target.rpartition(".")[2] in text, each


@then("a mechanism of a name that does not exist is refused")
def then_refused(context: Any) -> None:
    wrong = attrs.evolve(context.mechanisms[0], target=context.mechanisms[0].target + "s")
    assert not can_be_left_out(wrong)


@when("it is played with and without waiting for the server's pace, on seeds 1 to 3")
def when_without(context: Any) -> None:
    jobs = make_jobs([context.deployment], SEEDS, {})
    whole = list(run_jobs(jobs, PROCESSES))
    waiting = next(each for each in MECHANISMS if each.name == "wait for the server's pace")
    context.found = ablate(waiting, jobs, whole, PROCESSES)


@then("the row of the table tells a loss within the goal")
def then_row(context: Any) -> None:
    assert context.found.differences[0].mean < 0, context.found
    assert str(context.found).startswith("| wait for the server's pace | "), context.found
