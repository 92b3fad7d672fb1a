"""Publishing and handling of the bulletins that nodes send each other as datagrams."""

import random
from typing import Any

import attrs
import structlog

from marjoramtide.checked import MalformedError
from marjoramtide.claims import ClaimRecord, Claims, is_claim_bulletin, pack_claim, unpack_claim
from marjoramtide.errors import ErrorCode
from marjoramtide.evacuation import EvacuationService, is_store_bulletin
from marjoramtide.exchange import LoadReport
from marjoramtide.ingress import Dispatcher
from marjoramtide.membership import Member, MembershipService, MemberState
from marjoramtide.peers import report_fields, unpack_report
from marjoramtide.policy import BulletinRoutes
from marjoramtide.quarantine import QuarantineService, is_quarantine_bulletin
from marjoramtide.quota import QuotaService, is_quota_bulletin
from marjoramtide.storecheck import StoreChecker, is_check_bulletin

log = structlog.get_logger()

# Copies of each claim at other nodes: two survive the loss of one node and of one datagram.
CLAIM_COPIES = 2


@attrs.define(slots=True, eq=False, repr=False)
class NodeBulletins:
    """Publishes this node's bulletins, and passes those of other nodes to their components."""

    membership: MembershipService
    dispatcher: Dispatcher
    quarantine: QuarantineService
    evacuations: EvacuationService
    store_checker: StoreChecker
    claims: Claims
    quotas: QuotaService
    rng: random.Random
    routes: BulletinRoutes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.routes = BulletinRoutes(self.rng)

    def publish_load(self, report: LoadReport) -> None:
        """Publish a load report to the nodes that get this node's bulletins."""
        own = self.membership.self_member
        if own.state is MemberState.READY:
            route = self.routes.route(own, self.membership.members())
            self.membership.publish(report_fields(report), route.recipients, route.relays)

    def relay_recipients(self, sender: Member) -> list[Member]:
        """Return the members of this data centre to which a remote sender's bulletin is relayed."""
        membership = self.membership
        return self.routes.relay_recipients(sender, membership.self_member, membership.members())

    def publish_claim(self, key: str, record: ClaimRecord) -> None:
        """Send a claim to a few other nodes, which write it again if this node is lost."""
        own = self.membership.self_member.node
        other_members = [member for member in self.membership.members() if member.node != own]
        recipients = self.rng.sample(other_members, min(len(other_members), CLAIM_COPIES))
        self.membership.publish(pack_claim(key, record), recipients)

    def handle(self, member: Member, fields: list[Any]) -> None:
        """Pass a bulletin to its component; bulletins of unknown kinds are ignored."""
        if is_quarantine_bulletin(fields):
            self.quarantine.handle_bulletin(member, fields)
        elif is_store_bulletin(fields):
            self.evacuations.merge_state(fields, member.node)
        elif is_check_bulletin(fields):
            self.store_checker.handle_bulletin(member, fields)
        elif is_quota_bulletin(fields):
            self.quotas.handle_bulletin(member, fields)
        elif is_claim_bulletin(fields):
            self.handle_claim(member, fields)
        elif (report := unpack_report(fields)) is not None:
            self.dispatcher.record_load_report(member, report)

    def handle_claim(self, member: Member, fields: list[Any]) -> None:
        """Store a claim that another node holds."""
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
