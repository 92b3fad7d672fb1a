"""The state that an ingress node keeps for one service."""

import random
from collections import deque

import attrs

from marjoramtide.ingress._class_budgets import ClassBudgets, make_class_budgets
from marjoramtide.ingress._decision import Decision
from marjoramtide.membership import Directory, Member
from marjoramtide.policy import Selector, make_selector
from marjoramtide.settings import RouteSettings

HEDGE_PAUSE_S = 1.0
MAX_DECISIONS = 50


@attrs.define(slots=True, eq=False, repr=False)
class ServiceState:
    """The selector and the retry budgets of one service, made from one revision of its settings.

    ``budgets`` are those of routine (``False``) and urgent (``True``) requests. ``overloaded_at``
    is when a node last rejected a request as overloaded, in seconds of the monotonic clock.
    ``decisions`` are the latest ones, for operators who ask why requests went where they did.
    """

    settings: RouteSettings
    rng: random.Random
    selector: Selector
    budgets: dict[bool, ClassBudgets]
    members: list[Member] = attrs.Factory(list)
    overloaded_at: float = float("-inf")
    decisions: deque[Decision] = attrs.Factory(lambda: deque(maxlen=MAX_DECISIONS))

    def may_hedge(self, now: float) -> bool:
        """Return whether hedging makes sense at the moment.

        Failure: with more load than the servers can take, every response is slow, and each hedge
        occupies a slot for which another request is rejected. A rejection as overloaded shows that
        no slots are free.
        """
        return now - self.overloaded_at > HEDGE_PAUSE_S

    def refresh(self, directory: Directory, now: float) -> None:
        """Update the selector and the budgets if the members have changed."""
        members = directory.members_of(self.settings.service)
        if members is not self.members:
            self.members = members
            self.selector.update_members(members, now)
            nodes = len(directory.members())
            for budgets in self.budgets.values():
                budgets.share_among(nodes, self.settings)


def make_service_state(
    settings: RouteSettings,
    self_member: Member,
    rng: random.Random,
    previous: ServiceState | None = None,
    since: float = 0.0,
) -> ServiceState:
    """Return the initial state of a service.

    The budgets of a ``previous`` state are kept if their settings have not changed. Failure without
    that: during frequent changes of other settings, each change would grant what a new budget may
    start with. New budgets accumulate from ``since``, in seconds of the monotonic clock.
    """
    if previous is not None and budget_settings(previous.settings) == budget_settings(settings):
        budgets = previous.budgets
    else:
        budgets = {urgent: make_class_budgets(settings, since) for urgent in (False, True)}
    return ServiceState(settings, rng, make_selector(settings, self_member, rng), budgets)


def budget_settings(settings: RouteSettings) -> tuple[float, ...]:
    """Return the settings that define the budgets."""
    return (
        settings.retry_budget,
        settings.rejection_budget,
        settings.hedge_budget,
        settings.second_try_ratio,
        settings.second_tries_per_s,
    )
