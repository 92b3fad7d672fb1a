"""The small news that nodes send each other in datagrams."""

import random
from typing import Any

import attrs
import structlog

from marjoramtide.checked import MalformedError
from marjoramtide.claims import ClaimRecord, Claims, is_claim_bulletin, pack_claim, unpack_claim
from marjoramtide.errors import ErrorCode
from marjoramtide.evacuation import EvacuationService, is_store_news
from marjoramtide.exchange import LoadReport
from marjoramtide.ingress import Dispatcher
from marjoramtide.membership import Member, MembershipService, MemberState
from marjoramtide.peers import report_fields, unpack_report
from marjoramtide.policy import BulletinRoutes
from marjoramtide.quarantine import QuarantineService, is_quarantine_news
from marjoramtide.quota import QuotaService, is_quota_message

log = structlog.get_logger()

# Other nodes that know of each claim: with two, the loss of a node and of one datagram lose none.
CLAIM_WITNESSES = 2


@attrs.define(slots=True, eq=False, repr=False)
class NodeNews:
    """Sends this node's news, and hands that of others to the parts that they are for."""

    membership: MembershipService
    dispatcher: Dispatcher
    quarantine: QuarantineService
    evacuations: EvacuationService
    claims: Claims
    quotas: QuotaService
    rng: random.Random
    routes: BulletinRoutes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.routes = BulletinRoutes(self.rng)

    def tell_load(self, report: LoadReport) -> None:
        """Tell the nodes that follow this one that its backend server's speed has changed."""
        own = self.membership.self_member
        if own.state is MemberState.READY:
            route = self.routes.route(own, self.membership.members())
            self.membership.publish(report_fields(report), route.recipients, route.relays)

    def passed_on_to(self, teller: Member) -> list[Member]:
        """Return the members of this data centre that follow a node elsewhere."""
        membership = self.membership
        return self.routes.relay_recipients(teller, membership.self_member, membership.members())

    def tell_claim(self, key: str, record: ClaimRecord) -> None:
        """Have some other nodes know of a claim, which would write it again if this one is lost."""
        own = self.membership.self_member.node
        others = [member for member in self.membership.members() if member.node != own]
        chosen = self.rng.sample(others, min(len(others), CLAIM_WITNESSES))
        self.membership.publish(pack_claim(key, record), chosen)

    def take(self, member: Member, fields: list[Any]) -> None:
        """Take in the news of another node; of a kind that isn't known it is passed over."""
        if is_quarantine_news(fields):
            self.quarantine.take(member, fields)
        elif is_store_news(fields):
            self.evacuations.take(fields, member.node)
        elif is_quota_message(fields):
            self.quotas.take(member, fields)
        elif is_claim_bulletin(fields):
            self.take_claim(member, fields)
        elif (report := unpack_report(fields)) is not None:
            self.dispatcher.record_load_report(member, report)

    def take_claim(self, member: Member, fields: list[Any]) -> None:
        """Remember a claim of another node."""
        try:
            key, record = unpack_claim(fields)
        except MalformedError as error:
            log.warning(
                "daemon.claim_malformed",
                code=ErrorCode.BAD_FRAME,
                step="daemon.bulletin",
                peer=member.node,
                reason=str(error),
            )
            return
        self.claims.recent_claims.add_remote(key, record)
