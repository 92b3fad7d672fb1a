"""One member in a node's view."""

import attrs
import xxhash

from marjoramtide.membership._health import Health
from marjoramtide.membership._identity import encode_identity, member_key
from marjoramtide.membership._member import Member
from marjoramtide.membership._member_state import MemberState
from marjoramtide.membership._packet import AppliedSettings, Record, Status
from marjoramtide.membership._suspicion import Suspicion


@attrs.define(slots=True, eq=False, repr=False)
class MemberEntry:
    """What this node knows of one member.

    ``member`` is the public record and ``identity`` its encoded immutable part. ``declared`` is the
    state that the member itself announced. ``is_locally_suspect`` is set after a failure that this
    node observed passively; it isn't gossiped. ``gone_at`` is when the member became dead or left.
    ``digest_contribution`` is the hash that it adds to the digest of the view.
    """

    member: Member
    key: int
    identity: bytes
    declared: MemberState
    health: Health = Health.ALIVE
    is_locally_suspect: bool = False
    gone_at: float = 0.0
    suspicion: Suspicion | None = None
    state_hash: int = 0
    digest_contribution: int = 0

    def status(self, accuser: int = 0) -> Status:
        return Status(
            self.key,
            self.member.incarnation,
            self.declared,
            self.health,
            accuser if self.health is Health.SUSPECT else 0,
        )

    def settings(self) -> AppliedSettings:
        return AppliedSettings(self.member.revision, self.member.digest)

    def record(self) -> Record:
        return Record(self.identity, self.status(), self.settings())

    def can_return(self) -> bool:
        """Return whether a member that is gone may return under this identity."""
        return self.health is Health.DEAD

    def visible_state(self) -> MemberState:
        """Return the state shown to the rest of the node.

        A draining member stays draining under suspicion, since ``suspect`` members accept requests.
        """
        if self.health.is_gone:
            return MemberState.DEAD
        is_suspect = self.health is Health.SUSPECT or self.is_locally_suspect
        return (
            MemberState.SUSPECT
            if is_suspect and self.declared is MemberState.READY
            else self.declared
        )

    def update_state_hash(self) -> None:
        """Recompute ``state_hash`` from the member's last live state.

        Suspicion is short-lived and left out. The hash of a member that is gone stays that of its
        last live state, which shows whose view still holds it as live.
        """
        member = self.member
        text = f"{self.key},{member.incarnation},{self.declared},{member.revision}"
        self.state_hash = xxhash.xxh3_64_intdigest(text.encode())


def make_entry(member: Member, declared: MemberState, health: Health) -> MemberEntry:
    """Return the entry of a new member."""
    entry = MemberEntry(
        member=member,
        key=member_key(member.node),
        identity=encode_identity(member),
        declared=declared,
        health=health,
    )
    entry.member = attrs.evolve(member, state=entry.visible_state())
    return entry
