"""The answer of a backend server on its way to the caller."""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

import attrs

from marjoramtide.exchange._load_report import LoadReport

SERVER_ERROR = 500


@attrs.define(slots=True, eq=False, repr=False)
class Response:
    """Status and headers, with the whole body or with the stream of a large one.

    ``served_ms`` is how long the request spent at the serving node until the head of the answer,
    ``work_ms`` how long the backend server would have taken undisturbed, 0 where that isn't known.
    ``stream`` raises ``UnknownOutcomeError`` where the rest of the body does not arrive, so that a
    truncated answer can't be taken for a whole one. ``cancel`` tells whoever is still producing the
    body to stop; it is called once, by whoever does not read the stream to its end. ``tries`` are
    those that led to this answer, for the log.
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
    tries: Sequence[Any] = ()

    @property
    def is_server_error(self) -> bool:
        """Tell whether the backend server failed at the request (status 5xx)."""
        return self.status >= SERVER_ERROR

    async def close(self) -> None:
        """Stop a stream that nobody reads any more."""
        if self.cancel is not None:
            cancel, self.cancel = self.cancel, None
            await cancel()
