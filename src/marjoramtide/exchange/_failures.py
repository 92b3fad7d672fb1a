"""The two ways in which a request can fail."""

from collections.abc import Sequence
from typing import Any

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange._load_report import LoadReport


class RequestFailedError(MarjoramtideError):
    """A request without an answer; ``report`` is the load of the serving node, where it said so.

    ``tries`` are the decisions that the ingress node made on the way, for its log.
    ``reached`` tells whether the backend server was sent the request, even if it did not run it.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        step: str,
        peer: str = "",
        retry_after_ms: int | None = None,
        report: LoadReport | None = None,
        reached_backend: bool = False,
    ) -> None:
        super().__init__(code, message, step=step, peer=peer, retry_after_ms=retry_after_ms)
        self.report = report
        self.reached_backend = reached_backend
        self.tries: Sequence[Any] = ()


class NotRunError(RequestFailedError):
    """The request certainly did not run."""


class UnknownOutcomeError(RequestFailedError):
    """A backend server may have begun the request, and its whole answer did not arrive."""
