"""What is known of one node."""

import attrs

from marjoramtide.membership._member_state import MemberState


@attrs.frozen(slots=True)
class Member:
    """A node as it announced itself, with what others found out since.

    ``node`` is the identity of one run of the process: a replacement under the same addresses has
    a new one. Addresses are ``IP:PORT``. ``incarnation`` is raised by the member itself alone, to
    refute a suspicion. ``revision`` and ``digest`` name the settings it has in force.
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
