"""The public record of one member."""

import attrs

from marjoramtide.membership._member_state import MemberState


@attrs.frozen(slots=True)
class Member:
    """A node's identity and addresses, with its state in this node's view.

    ``node`` identifies one run of the process; a replacement under the same addresses has another
    one. Addresses are ``IP:PORT``. Only the member itself raises its ``incarnation``, to change its
    state or to refute a suspicion. ``revision`` and ``digest`` identify the settings it has in
    force.
    """

    node: str
    service: str
    region: str
    data_centre: str
    peer_address: str
    gossip_address: str
    operators_address: str
    state: MemberState = MemberState.STARTING
    incarnation: int = 0
    revision: int = 0
    digest: str = ""
