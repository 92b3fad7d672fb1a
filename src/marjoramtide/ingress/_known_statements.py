"""What backend servers beside other nodes have said that they take."""

import attrs

from marjoramtide.exchange import LoadReport, ServerStatement
from marjoramtide.membership import Member


@attrs.frozen(slots=True)
class HeardStatement:
    """A statement, by which run of a node it was told, and in which of its reports."""

    statement: ServerStatement
    node: str
    sequence: int


@attrs.define(slots=True, eq=False, repr=False)
class KnownStatements:
    """The last statement of each server that asks for something, by its node's peer address.

    Failure: the node beside a server is started anew and has forgotten what the server said; the
    server gets its full share again from all nodes. These know it from the answers that they have
    passed on, and tell it with each request, so that the new node goes by it before the first one
    begins. A statement is forgotten when the node that told it tells that it has ended, or when a
    node that was told it answers without one: it knows better, or another start is beside it.
    """

    heard: dict[str, HeardStatement] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self.heard)

    def of(self, address: str) -> ServerStatement | None:
        """Return what is known of the server beside the node with this peer address."""
        held = self.heard.get(address)
        return None if held is None else held.statement

    def note(self, member: Member, report: LoadReport, sent: ServerStatement | None) -> None:
        """Take in a node's report; ``sent`` is what the node had been told with the request."""
        held = self.heard.get(member.peer_address)
        is_same_run = held is not None and held.node == member.node
        if is_same_run and held is not None and report.sequence <= held.sequence:
            return
        if report.statement is not None:
            self.heard[member.peer_address] = HeardStatement(
                report.statement, member.node, report.sequence
            )
        elif held is not None and (is_same_run or sent is held.statement):
            del self.heard[member.peer_address]
