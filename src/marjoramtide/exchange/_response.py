"""The response of a backend server on its way to the caller."""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

import attrs

from marjoramtide.exchange._load_report import LoadReport

MIN_SERVER_ERROR_STATUS = 500


@attrs.define(slots=True, eq=False, repr=False)
class Response:
    """Status and headers, with the whole body or with the stream of a large one.

    ``served_ms`` is the time that the request spent at the serving node until the response head,
    ``work_ms`` the time that the backend server would have taken without interference, 0 if
    unknown. ``stream`` raises ``UnknownOutcomeError`` if the rest of the body does not arrive, so
    that a truncated response can't be taken for a complete one. ``cancel`` stops the producer of
    the body; a consumer that does not read the stream to its end calls it once. ``decisions`` are
    the attempts that led to this response, for the log.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    length: int | None = None
    report: LoadReport | None = None
    served_ms: float | None = None
    work_ms: float = 0.0
    cancel: Callable[[], Awaitable[None]] | None = None
    decisions: Sequence[Any] = ()

    @property
    def is_server_error(self) -> bool:
        """Return whether the status is a server error (5xx)."""
        return self.status >= MIN_SERVER_ERROR_STATUS

    async def close(self) -> None:
        """Stop the stream, since it is no longer read."""
        if self.cancel is not None:
            cancel, self.cancel = self.cancel, None
            await cancel()
