"""The last known statements of other nodes' backend servers."""

import attrs

from marjoramtide.exchange import LoadReport, ServerStatement
from marjoramtide.membership import Member


@attrs.frozen(slots=True)
class KnownStatement:
    """A statement, with the node and the sequence number of the report that it came in."""

    statement: ServerStatement
    node: str
    sequence: int


@attrs.define(slots=True, eq=False, repr=False)
class KnownStatements:
    """The last statement of each server that limits its load, by its node's peer address.

    Failure: the node beside a server restarts and has lost the server's statement, so all nodes
    send the server its full share again. They know the statement from earlier responses and send it
    along with each request, so that the restarted node applies it before the first request begins.
    A statement is removed when the node that reported it reports that it has ended, or when a
    restarted node that was sent it responds without one: then that node has newer knowledge, or
    another instance runs beside it.
    """

    known: dict[str, KnownStatement] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self.known)

    def get(self, address: str) -> ServerStatement | None:
        """Return the statement of the server whose node has this peer address."""
        entry = self.known.get(address)
        return None if entry is None else entry.statement

    def update(
        self, member: Member, report: LoadReport, sent_statement: ServerStatement | None
    ) -> None:
        """Update the statements from a node's report.

        ``sent_statement`` is the statement that the node had been sent with the request.
        """
        entry = self.known.get(member.peer_address)
        is_same_run = entry is not None and entry.node == member.node
        if is_same_run and entry is not None and report.sequence <= entry.sequence:
            return
        if report.statement is not None:
            self.known[member.peer_address] = KnownStatement(
                report.statement, member.node, report.sequence
            )
        elif entry is not None and (is_same_run or sent_statement is entry.statement):
            del self.known[member.peer_address]
