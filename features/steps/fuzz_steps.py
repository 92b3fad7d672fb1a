"""Steps that feed broken input to what reads bytes from outside."""

import time
from typing import Any

from behave import then, when  # type: ignore[attr-defined]

from bench.fuzz import run_readers

LIMIT_S = 60.0


@when("each reader gets {count:d} broken inputs of seed {seed:d}")
def when_fuzzed(context: Any, count: int, seed: int) -> None:
    context.tallies = run_readers(count, seed, time.monotonic() + LIMIT_S)
    tried = {tally.name: sum(tally.seen.values()) + len(tally.faults) for tally in context.tallies}
    assert all(number >= count for number in tried.values()), tried


@then("there is no fault")
def then_no_fault(context: Any) -> None:
    faults = [fault for tally in context.tallies for fault in tally.faults]
    assert not faults, faults
