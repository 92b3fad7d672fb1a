"""Builds the admission from settings."""

from marjoramtide.policy.admission._admission import Admission
from marjoramtide.policy.admission._edf_admission import EdfAdmission
from marjoramtide.policy.admission._limiter_factory import make_limiter
from marjoramtide.settings import RouteSettings


def make_admission(settings: RouteSettings, now: float) -> Admission:
    """Build the admission of one backend server that started to serve at ``now``.

    Raises ``bad-settings`` for a limiter that is not in ``LIMITERS``.
    """
    return EdfAdmission(
        limiter=make_limiter(settings),
        urgent_slots=settings.urgent_slots,
        queue_limit=settings.queue_limit,
        started_at=now,
    )
