"""What a failed try tells of the node that was asked."""

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, UnknownOutcomeError
from marjoramtide.ingress._attempts import Attempts
from marjoramtide.membership import Directory


def learn_failure(
    attempts: Attempts,
    directory: Directory,
    node: str,
    error: BaseException,
    now: float,
    elapsed_ms: float,
) -> None:
    """Let the selector, membership and the request's next tries learn from a failed try.

    ``now`` is in seconds of the monotonic clock; the try took ``elapsed_ms`` milliseconds.
    """
    selector = attempts.state.selector
    match error:
        case _ if attempts.body.error is not None:
            # The caller's body broke off; the node that was to read it is not to blame.
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case NotRunError(
            code=ErrorCode.CONNECT_FAILED | ErrorCode.PEER_LOST | ErrorCode.UNKNOWN_SERVICE
        ):
            # Also where a node of another service answers at the address: the one that was
            # meant is gone, and membership has not noticed yet.
            selector.lost(node, now, elapsed_ms=elapsed_ms, unreachable=True)
            directory.report_failure(node)
        case NotRunError(code=ErrorCode.EVACUATED):
            attempts.excluded |= neighbours(attempts, directory, node)
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case NotRunError(
            code=ErrorCode.STORE_UNAVAILABLE | ErrorCode.KEY_REUSED | ErrorCode.QUARANTINED
        ):
            # The claim or the request was refused, not the load: a node that took the hint to come
            # back for its own would be left alone by everyone's lookups, and in an outage of the
            # store all nodes would be in turn.
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case UnknownOutcomeError(code=ErrorCode.DUPLICATE_KEY):
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case NotRunError():
            attempts.rejected_by.add(node)
            if error.code is ErrorCode.SLOWED:
                attempts.slowed.add(node)
            if error.code is ErrorCode.OVERLOADED:
                attempts.state.refused_at = now
            retry_after_ms = error.retry_after_ms or 0
            selector.rejected(node, error.report, retry_after_ms, now, elapsed_ms=elapsed_ms)
        case UnknownOutcomeError(code=ErrorCode.DEADLINE):
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case UnknownOutcomeError():
            selector.lost(node, now, elapsed_ms=elapsed_ms)
            if error.code is ErrorCode.PEER_LOST:
                directory.report_failure(node)
        case _:
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)


def neighbours(attempts: Attempts, directory: Directory, node: str) -> set[str]:
    """Return the nodes in the data centre of one that refused since that is evacuated.

    This node has not heard of it yet. Without this a request asks one of them after the other.
    """
    asked = directory.find(node)
    if asked is None:
        return {node}
    members = attempts.state.members
    return {each.node for each in members if each.data_centre == asked.data_centre}
