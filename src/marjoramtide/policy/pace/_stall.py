"""Evidence from answers that haven't come."""

USUAL_TIMES = 3.0
USUAL_TIMES_AT_LEAST = 1.5


def stalled_ms(
    oldest: float | None, last_answer: float, running: int, usual_ms: float, now: float
) -> float:
    """Return for how many milliseconds a server has owed an answer, 0 where that is usual.

    ``oldest`` is when the oldest of ``running`` unanswered requests began, ``None`` where there is
    none; ``last_answer`` is when any answer last came. Both are in seconds. While the usual time is
    unknown (0), no silence is unusual.

    Failure: a server turns ten times slower without warning. Everything known of it was told by
    quick answers, so it looks as good as ever and gets its full share until the first slow answer
    arrives, one slow service time later. A silence beyond ``USUAL_TIMES`` usual times is counted as
    slowness at once; the more requests run, the sooner one of them should have been answered. One
    long request among others that are answered isn't: each answer ends the silence, so uneven work
    doesn't look like a slow server.
    """
    if oldest is None or usual_ms <= 0:
        return 0.0
    silence = (now - max(oldest, last_answer)) * 1000
    return silence if silence > stall_threshold_ms(running, usual_ms) else 0.0


def stall_threshold_ms(running: int, usual_ms: float) -> float:
    """Return after how long a silence is unusual while ``running`` requests are unanswered."""
    return usual_ms * max(USUAL_TIMES_AT_LEAST, USUAL_TIMES / running)
