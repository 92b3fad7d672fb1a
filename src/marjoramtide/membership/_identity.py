"""The immutable part of a member record, and the member key."""

import hashlib
import sys
from functools import lru_cache
from typing import Any

import cbor2

from marjoramtide.membership._member import Member
from marjoramtide.settings import parse_address


@lru_cache(maxsize=4096)
def member_key(node: str) -> int:
    """Return the 64-bit hash that identifies a node in datagrams; never 0."""
    return int.from_bytes(hashlib.blake2b(node.encode(), digest_size=8).digest(), "big") | 1


def encode_identity(member: Member) -> bytes:
    """Return the identity and addresses of a member as CBOR."""
    return cbor2.dumps(
        [
            member.node,
            member.service,
            member.region,
            member.data_centre,
            member.peer_address,
            member.gossip_address,
            member.operators_address,
        ]
    )


def decode_identity(identity: bytes) -> Member:
    """Return the member with this encoded identity; raises ``ValueError``."""
    fields: Any = cbor2.loads(identity)
    if not isinstance(fields, list) or len(fields) != 7:
        raise ValueError("an identity has seven fields")
    if not all(isinstance(field, str) and field for field in fields):
        raise ValueError("the fields of an identity are text and not empty")
    for address in fields[4:]:
        parse_address(address)
    # Names of services, regions and data centres repeat across the fleet; interning saves memory.
    node, service, region, data_centre, *addresses = fields
    shared: list[Any] = [sys.intern(text) for text in (service, region, data_centre)]
    return Member(node, *shared, *addresses)
