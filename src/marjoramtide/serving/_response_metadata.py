"""What an answer of the backend server says, beyond HTTP."""

from enum import Enum

import attrs

from marjoramtide.exchange import ServerStatement
from marjoramtide.serving._server_load import ServerLoad

NOTHING_STATED = ServerStatement()


class ResponseVerdict(Enum):
    """What the head of an answer says of the request."""

    ANSWERED = "answered"
    REFUSED = "refused"  # it did not run, and never will
    MISDIRECTED = "misdirected"  # as refused: another backend server has this address now
    INVALID = "spoiled"  # it may have run, but this is no answer that a caller may be given


@attrs.frozen(slots=True)
class ResponseMetadata:
    """The head of an answer, decoded.

    ``leaving`` tells that the backend server takes no new work; ``retry_after_ms`` when it wants a
    refused request back, ``load`` what it says of itself, each ``None`` where it doesn't.
    ``instance`` is the identity it states, or empty; ``statement`` what it says that it takes, and
    ``malformed`` the statements that can't be read.
    """

    verdict: ResponseVerdict
    is_leaving: bool = False
    retry_after_ms: int | None = None
    load: ServerLoad | None = None
    instance: str = ""
    statement: ServerStatement = NOTHING_STATED
    malformed: tuple[str, ...] = ()
