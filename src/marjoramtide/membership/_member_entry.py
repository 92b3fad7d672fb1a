"""One row of a node's view."""

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
    """What this node holds about one member.

    ``member`` is the record that other parts of the node read. ``doubted`` is this node's own
    passive sign of failure; it is not passed on. ``gone_at`` is when the member was believed dead.
    ``counted`` is its part in the digest of the view.
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
        """Tell whether a member that is gone may come back under this identity."""
        return self.health is Health.DEAD

    def visible_state(self) -> MemberState:
        """Return the state that other parts act on.

        A member that is draining stays so under suspicion: ``suspect`` still takes work.
        """
        if self.health.is_gone:
            return MemberState.DEAD
        doubtful = self.health is Health.SUSPECT or self.is_locally_suspect
        return (
            MemberState.SUSPECT
            if doubtful and self.declared is MemberState.READY
            else self.declared
        )

    def update_state_hash(self) -> None:
        """Recompute ``summand``, the hash of what this node holds of a member that runs.

        Suspicion is left out, being short-lived. A member that is gone keeps the hash of the state
        in which it was last held to run, so that it can be told who still holds it so.
        """
        member = self.member
        text = f"{self.key},{member.incarnation},{self.declared},{member.revision}"
        self.state_hash = xxhash.xxh3_64_intdigest(text.encode())


def make_entry(member: Member, declared: MemberState, health: Health) -> MemberEntry:
    """Return the entry of a member heard of for the first time."""
    entry = MemberEntry(
        member=member,
        key=member_key(member.node),
        identity=encode_identity(member),
        declared=declared,
        health=health,
    )
    entry.member = attrs.evolve(member, state=entry.visible_state())
    return entry
