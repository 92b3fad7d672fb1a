"""The two ways in which a request can fail."""

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.policy import LoadReport


class NotRunError(MarjoramtideError):
    """The request certainly did not run; ``report`` is the load of the node that refused it."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        step: str,
        peer: str = "",
        retry_after_ms: int | None = None,
        report: LoadReport | None = None,
    ) -> None:
        super().__init__(code, message, step=step, peer=peer, retry_after_ms=retry_after_ms)
        self.report = report


class UnknownOutcomeError(MarjoramtideError):
    """A backend server may have begun the request, and its whole answer did not arrive."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        step: str,
        peer: str = "",
        retry_after_ms: int | None = None,
        report: LoadReport | None = None,
    ) -> None:
        super().__init__(code, message, step=step, peer=peer, retry_after_ms=retry_after_ms)
        self.report = report
