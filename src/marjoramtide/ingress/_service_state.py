"""What an ingress node keeps for one service."""

import random
from collections import deque

import attrs

from marjoramtide.ingress._class_budgets import ClassBudgets, make_class_budgets
from marjoramtide.ingress._decision import Decision
from marjoramtide.membership import Directory, Member
from marjoramtide.policy import Selector, make_selector
from marjoramtide.settings import RouteSettings

HEDGE_PAUSE_S = 1.0
KEPT_DECISIONS = 50


@attrs.define(slots=True, eq=False, repr=False)
class ServiceState:
    """The selector and the budgets of one service, made from one revision of its settings.

    ``decisions`` are the last ones, for operators who ask why requests went where they went.

    ``budgets`` are those of routine (``False``) and urgent (``True``) requests.
    """

    settings: RouteSettings
    rng: random.Random
    selector: Selector
    budgets: dict[bool, ClassBudgets]
    members: list[Member] = attrs.Factory(list)
    refused_at: float = float("-inf")
    decisions: deque[Decision] = attrs.Factory(lambda: deque(maxlen=KEPT_DECISIONS))

    def may_hedge(self, now: float) -> bool:
        """Tell whether second tries beside a slow first one make sense at this moment.

        Failure: more comes than the servers can do, every answer is slow, and each hedge takes a
        slot for which somebody else is refused. A refusal for want of room shows that there is none
        to spare.
        """
        return now - self.refused_at > HEDGE_PAUSE_S

    def refresh(self, directory: Directory, now: float) -> None:
        """Take over the members where they have changed."""
        members = directory.members_of(self.settings.service)
        if members is not self.members:
            self.members = members
            self.selector.update_members(members, now)
            nodes = len(directory.members())
            for budgets in self.budgets.values():
                budgets.share_among(nodes, self.settings)


def make_service_state(
    settings: RouteSettings, self_member: Member, rng: random.Random
) -> ServiceState:
    """Return the state of a service that nothing is known of yet."""
    return ServiceState(
        settings,
        rng,
        make_selector(settings, self_member, rng),
        {urgent: make_class_budgets(settings) for urgent in (False, True)},
    )
