"""Steps on what nodes tell each other of the statements of backend servers."""

from typing import Any

import attrs
import cbor2
from behave import given, then  # type: ignore[attr-defined]

from marjoramtide.exchange import LoadReport, ServerStatement
from marjoramtide.peers import report_fields, unpack_report
from marjoramtide.peers._codec import decode, encode, pack_statement, unpack_statement
from marjoramtide.peers._messages import RequestMessage

STATEMENT = ServerStatement("i-1", 7.6, True)


@given("a report and a request that tell of a limit of 7.6, and ones that tell of none")
def given_statements(context: Any) -> None:
    plain = LoadReport(1, 5, sequence=3)
    request = RequestMessage(
        1, "s", "GET", "/", [], False, True, 900.0, 1, "", "", 1, b"", False, 0
    )
    context.reports = plain, attrs.evolve(plain, statement=STATEMENT)
    context.requests = request, attrs.evolve(request, statement=pack_statement(STATEMENT))


@then("a node of the version before reads both reports, and the request that tells of none")
def then_old_reads(context: Any) -> None:
    known = [field.name for field in attrs.fields(LoadReport)][:-1]
    for report in context.reports:
        fields = report_fields(report)
        assert [getattr(report, name) for name in known] == fields[: len(known)]
    assert len(report_fields(context.reports[0])) == len(known)
    sent = cbor2.loads(encode(context.requests[0]))
    added = ["statement", "workspace"]
    known = [field.name for field in attrs.fields(RequestMessage) if field.name not in added]
    assert len(sent) == 1 + len(known), "its type, and all fields that the version before has"


@then("this version reads all four, and what the version before sends")
def then_new_reads(context: Any) -> None:
    plain, stating = context.reports
    assert unpack_report(report_fields(plain)) == plain
    assert unpack_report(report_fields(stating)) == stating
    assert unpack_report([*report_fields(plain), ["i-1", "much", True]]) == plain
    asking, telling = map(decode, map(encode, context.requests))
    assert asking == context.requests[0] and unpack_statement(asking.statement) is None
    assert unpack_statement(telling.statement) == STATEMENT
