"""Metadata in the head of a backend server's response."""

from enum import Enum

import attrs

from marjoramtide.exchange import ServerStatement
from marjoramtide.serving._server_load import ServerLoad

NOTHING_STATED = ServerStatement()


class ResponseVerdict(Enum):
    """How a response is to be treated, by its head."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the request did not run and never will
    MISDIRECTED = "misdirected"  # as REFUSED; another backend server has this address now
    INVALID = "spoiled"  # the request may have run, but the response must not be forwarded


@attrs.frozen(slots=True)
class ResponseMetadata:
    """The decoded head of a response.

    ``is_leaving`` is true if the backend server accepts no new requests. ``retry_after_ms`` is when
    a rejected request may be retried, and ``load`` the reported load; both are ``None`` if not
    stated. ``instance`` is the stated identity, or empty. ``statement`` holds the stated limits,
    and ``malformed`` the header lines of statements that are invalid. ``is_unproven_rejection`` is
    true if callers would take the status for a guarantee that the request did not run, although the
    server does not state that.
    """

    verdict: ResponseVerdict
    is_leaving: bool = False
    retry_after_ms: int | None = None
    load: ServerLoad | None = None
    instance: str = ""
    statement: ServerStatement = NOTHING_STATED
    malformed: tuple[str, ...] = ()
    is_unproven_rejection: bool = False
