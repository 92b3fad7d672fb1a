"""What an ingress node keeps for one service."""

import random

import attrs

from marjoramtide.ingress._class_budgets import ClassBudgets, make_class_budgets
from marjoramtide.membership import Directory, Member
from marjoramtide.policy import Selector, make_selector
from marjoramtide.settings import RouteSettings


@attrs.define(slots=True)
class ServiceState:
    """The selector and the budgets of one service, made from one revision of its settings.

    ``budgets`` are those of routine (``False``) and urgent (``True``) requests.
    """

    settings: RouteSettings
    selector: Selector
    budgets: dict[bool, ClassBudgets]
    members: list[Member] = attrs.Factory(list)

    def refresh(self, directory: Directory, now: float) -> None:
        """Take over the members where they have changed."""
        members = directory.members_of(self.settings.service)
        if members is not self.members:
            self.members = members
            self.selector.update_members(members, now)


def make_service_state(
    settings: RouteSettings, self_member: Member, rng: random.Random
) -> ServiceState:
    """Return the state of a service that nothing is known of yet."""
    return ServiceState(
        settings,
        make_selector(settings, self_member, rng),
        {urgent: make_class_budgets(settings) for urgent in (False, True)},
    )
