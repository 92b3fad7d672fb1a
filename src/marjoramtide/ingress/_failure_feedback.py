"""Feedback from failed attempts to node selection, membership and the request's next attempts."""

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, UnknownOutcomeError
from marjoramtide.ingress._attempts import LOST_SERVER_CODES, Attempts
from marjoramtide.membership import Directory


def apply_failure(
    attempts: Attempts,
    directory: Directory,
    node: str,
    error: BaseException,
    now: float,
    elapsed_ms: float,
) -> None:
    """Update the selector, membership and ``attempts`` after a failed attempt at ``node``.

    ``now`` is in seconds of the monotonic clock; the attempt took ``elapsed_ms`` milliseconds.
    """
    selector = attempts.state.selector
    match error:
        case _ if attempts.body.error is not None:
            # The caller's body broke off; the node that was reading it did not fail.
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case NotRunError(
            code=ErrorCode.CONNECT_FAILED | ErrorCode.PEER_LOST | ErrorCode.UNKNOWN_SERVICE
        ):
            # UNKNOWN_SERVICE: a node of another service responds at the address, so the intended
            # node is gone and membership has not noticed yet.
            selector.lost(node, now, elapsed_ms=elapsed_ms, unreachable=True)
            directory.report_failure(node)
        case NotRunError(code=ErrorCode.EVACUATED):
            attempts.excluded |= data_centre_nodes(attempts, directory, node)
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case NotRunError(
            code=ErrorCode.STORE_UNAVAILABLE | ErrorCode.KEY_REUSED | ErrorCode.QUARANTINED
        ):
            # The rejection is due to the claim or the request, not to the load. If the Retry-After
            # were taken as the node's own, no lookups would be sent to it, and in a store outage
            # all nodes would be avoided in turn.
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case UnknownOutcomeError(code=ErrorCode.DUPLICATE_KEY):
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case NotRunError():
            attempts.rejected_by.add(node)
            if error.code is ErrorCode.SLOWED:
                attempts.slowed_nodes.add(node)
            if error.code is ErrorCode.OVERLOADED:
                attempts.state.overloaded_at = now
            retry_after_ms = error.retry_after_ms or 0
            selector.rejected(node, error.report, retry_after_ms, now, elapsed_ms=elapsed_ms)
        case UnknownOutcomeError(code=ErrorCode.DEADLINE):
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)
        case UnknownOutcomeError():
            selector.lost(node, now, elapsed_ms=elapsed_ms)
            if error.code in LOST_SERVER_CODES:
                attempts.lost_server_at.add(node)
            if error.code is ErrorCode.PEER_LOST:
                directory.report_failure(node)
        case _:
            selector.cancelled(node, now, elapsed_ms=elapsed_ms)


def data_centre_nodes(attempts: Attempts, directory: Directory, node: str) -> set[str]:
    """Return the service's nodes in the data centre of a node that is being evacuated.

    This node has not learned of the evacuation yet. Without this a request would be sent to all of
    them in turn.
    """
    evacuated = directory.find(node)
    if evacuated is None:
        return {node}
    members = attempts.state.members
    return {each.node for each in members if each.data_centre == evacuated.data_centre}
