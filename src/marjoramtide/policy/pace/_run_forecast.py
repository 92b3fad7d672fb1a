"""Prediction of the run time on a server that is slowed down by its neighbours."""


def run_ms(work_ms: float, slowdown: float, holds_ms: float | None, usual: float) -> float:
    """Return the expected milliseconds until ``work_ms`` of undisturbed work that arrives now ends.

    A request keeps the speed with which it started, although the slowdown of its server changes
    meanwhile.

    ``slowdown`` holds for ``holds_ms`` (``None`` if unknown), and ``usual`` is the mean after that.
    Since a node may let a request wait for the next change, the earlier of both ends counts. For
    example, 370 ms of work on a server with a slowdown of 4 for the next 100 ms and a mean of 1.75
    ends after 1480 ms if it begins now, or 748 ms if it waits.
    """
    if holds_ms is None:
        return work_ms * slowdown
    return min(work_ms * slowdown, holds_ms + work_ms * usual)
