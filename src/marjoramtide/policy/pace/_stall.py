"""Detection of stalls: responses that are overdue."""

STALL_FACTOR = 3.0
MIN_STALL_FACTOR = 1.5


def stalled_ms(
    oldest: float | None, last_answer: float, running: int, usual_ms: float, now: float
) -> float:
    """Return for how many milliseconds a response has been overdue, 0 if none is.

    ``oldest`` is when the oldest of ``running`` unanswered requests began, ``None`` if there is
    none; ``last_answer`` is when the last response arrived. Both are in seconds. While the usual
    time is unknown (0), nothing is overdue.

    If a server turns ten times slower, everything known of it dates from fast responses, and it
    would get its full share until the first slow response arrives, one slow service time later. A
    time without responses beyond ``STALL_FACTOR`` usual times counts as slowness immediately; the
    more requests run, the sooner one of them should have been answered. A long request among others
    that are answered is no stall: each response restarts the time, so uneven work doesn't look like
    a slow server.
    """
    if oldest is None or usual_ms <= 0:
        return 0.0
    elapsed_ms = (now - max(oldest, last_answer)) * 1000
    return elapsed_ms if elapsed_ms > stall_threshold_ms(running, usual_ms) else 0.0


def stall_threshold_ms(running: int, usual_ms: float) -> float:
    """Return after how long ``running`` requests without a response count as stalled."""
    return usual_ms * max(MIN_STALL_FACTOR, STALL_FACTOR / running)
