"""What an ingress node keeps for one service."""

import random

import attrs

from marjoramtide.membership import Directory, Member
from marjoramtide.policy import RetryBudget, Selector, make_selector
from marjoramtide.settings import RouteSettings


@attrs.define(slots=True)
class ServiceState:
    """The selector and the budgets of one service, made from one revision of its settings."""

    settings: RouteSettings
    selector: Selector
    retries: RetryBudget
    rejections: RetryBudget
    hedges: RetryBudget
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
        RetryBudget(settings.retry_budget),
        RetryBudget(settings.rejection_budget, min_per_s=10.0),
        RetryBudget(settings.hedge_budget, min_per_s=0.2),
    )
