"""Steps that fuzz readers of bytes from outside the process."""

import time
from typing import Any

from behave import then, when  # type: ignore[attr-defined]

from bench.fuzz import run_readers
from bench.fuzz_framing import run_framing

TIMEOUT_S = 60.0


@when("each reader gets {count:d} broken inputs of seed {seed:d}")
def when_fuzzed(context: Any, count: int, seed: int) -> None:
    context.tallies = run_readers(count, seed, time.monotonic() + TIMEOUT_S)
    counts = {
        tally.name: sum(tally.outcomes.values()) + len(tally.faults) for tally in context.tallies
    }
    assert all(number >= count for number in counts.values()), counts


@then("there is no fault")
def then_no_fault(context: Any) -> None:
    faults = [fault for tally in context.tallies for fault in tally.faults]
    assert not faults, faults


@when("a node gets {count:d} connections of framed requests of seed {seed:d}")
def when_framed(context: Any, count: int, seed: int) -> None:
    context.unanswered = run_framing(count, seed, time.monotonic() + TIMEOUT_S)


@then("each was answered in full")
def then_all_answered(context: Any) -> None:
    assert not context.unanswered, context.unanswered
