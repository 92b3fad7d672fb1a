"""Steps on responses of a backend server whose status guarantees that a request did not run."""

from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.late_answers_steps import exchange
from features.steps.platform_node_steps import fleet_node, run

use_step_matcher("parse")


@given("the server of node {number:d} runs the next booking and answers with {status:d}")
def given_own_status(context: Any, number: int, status: int) -> None:
    fleet_node(context, number).server.own_statuses = [status]


@when('it answers {status:d} with "{stated}" to a {kind} request')
def answer_with_status(context: Any, status: int, stated: str, kind: str) -> None:
    context.server.answers = [f"HTTP/1.1 {status} Status\r\n{stated}\r\n"]
    is_idempotent = kind == "idempotent"
    context.result = run(context, exchange(context, "a", is_idempotent=is_idempotent))


@then("its answer bears no seal")
def no_seal(context: Any) -> None:
    assert "X-Response-Seal" not in context.result.headers, context.result
