"""The two ways in which a request can fail."""

from collections.abc import Sequence
from typing import Any

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange._load_report import LoadReport


class RequestFailedError(MarjoramtideError):
    """A request failed; ``report`` is the load report of the serving node, if it sent one.

    ``decisions`` are those that the ingress node made for the request, for its log.
    ``reached_backend`` is true if the backend server was sent the request, even if it did not run
    it.
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
        self.decisions: Sequence[Any] = ()


class NotRunError(RequestFailedError):
    """The request certainly did not run."""


class UnknownOutcomeError(RequestFailedError):
    """A backend server may have begun the request, and no complete response arrived."""
