"""How long a piece of work will take on a server that its neighbours slow down."""


def run_ms(work_ms: float, slowdown: float, holds_ms: float | None, usual: float) -> float:
    """Return the expected milliseconds for ``work_ms`` of undisturbed work that begins now.

    ``slowdown`` holds for ``holds_ms`` (``None``: not known, taken to hold on), and ``usual`` is
    the mean after that. For example, 90 ms of work on a server that is four times slower for the
    next 100 ms and 1.75 times on the mean: 25 ms of it are done by then, the rest takes 114 ms.
    """
    if holds_ms is None or work_ms * slowdown <= holds_ms:
        return work_ms * slowdown
    return holds_ms + (work_ms - holds_ms / slowdown) * usual
