"""Encoding and authentication of gossip datagrams."""

import struct
from typing import Any

import cbor2

from marjoramtide.membership._datagram_authenticator import (
    MAC_BYTES,
    MAX_DATAGRAM_BYTES,
    DatagramAuthenticator,
)
from marjoramtide.membership._health import Health
from marjoramtide.membership._packet import (
    DECLARED_STATES,
    AppliedSettings,
    Packet,
    PacketKind,
    Record,
    Status,
)
from marjoramtide.membership._packet_error import DropCode, PacketError

FORMAT = 1
MAX_DIGEST_CHARACTERS = 64
MAX_IDENTITY_BYTES = 400
_STATUSES, _REVISIONS, _RECORDS, _FILTER, _KEYS = range(1, 6)
_MALFORMED = (cbor2.CBORError, ValueError, TypeError, IndexError, KeyError, struct.error)


class PacketCodec:
    """Encodes packets with CBOR and authenticates them with a 16-byte keyed BLAKE2b (RFC 7693).

    The MAC is verified before anything is parsed, so bytes from outside the fleet never reach the
    CBOR decoder. The same check rejects datagrams of fleets with another key.
    """

    def __init__(self, key: str) -> None:
        self.authenticator = DatagramAuthenticator(key, b"mt-membership")

    def mac(self, body: bytes) -> bytes:
        """Return the MAC of ``body``."""
        return self.authenticator.mac(body)

    def encode(self, packet: Packet) -> bytes:
        """Return the datagram; raises ``ValueError`` if it would be too large."""
        body = cbor2.dumps(_to_wire(packet))
        if len(body) + MAC_BYTES > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {len(body) + MAC_BYTES} bytes")
        return self.authenticator.seal(body)

    def decode(self, data: bytes) -> Packet:
        """Return the packet; raises ``PacketError`` if it is invalid or not from this fleet."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise PacketError(DropCode.OVERSIZED, f"{len(data)} bytes")
        body = self.authenticator.open(data)
        try:
            return _from_wire(cbor2.loads(body))
        except _MALFORMED as error:
            raise PacketError(DropCode.MALFORMED, str(error)) from error


def status_size(status: Status) -> int:
    """Return an upper bound on the encoded size in bytes."""
    return 32 if status.accuser else 23


def record_size(record: Record) -> int:
    """Return an upper bound on the encoded size in bytes."""
    return len(record.identity) + len(record.settings.digest) + 50


def _to_wire(packet: Packet) -> list[Any]:
    body: dict[int, Any] = {}
    if packet.statuses:
        body[_STATUSES] = [_status_to_wire(status) for status in packet.statuses]
    if packet.revisions:
        body[_REVISIONS] = [
            [settings.revision, settings.digest, struct.pack(f"!{len(keys)}Q", *keys)]
            for settings, keys in packet.revisions
        ]
    if packet.records:
        body[_RECORDS] = [
            [
                record.identity,
                *_status_to_wire(record.status)[:3],
                record.settings.revision,
                record.settings.digest,
            ]
            for record in packet.records
        ]
    if packet.view_filter:
        body[_FILTER] = packet.view_filter
    if packet.keys:
        body[_KEYS] = struct.pack(f"!{len(packet.keys)}Q", *packet.keys)
    return [
        FORMAT,
        int(packet.kind),
        packet.sender,
        packet.sequence,
        packet.sent_ms,
        packet.destination,
        packet.number,
        packet.view_digest,
        *_status_to_wire(packet.status)[1:3],
        packet.settings.revision,
        packet.settings.digest,
        body,
    ]


def _status_to_wire(status: Status) -> list[int]:
    code = DECLARED_STATES.index(status.declared) + len(DECLARED_STATES) * status.health
    wire = [status.key, status.incarnation, code]
    return [*wire, status.accuser] if status.accuser else wire


def _from_wire(wire: Any) -> Packet:
    if not isinstance(wire, list) or len(wire) != 13 or wire[0] != FORMAT:
        raise ValueError("not a packet of this format")
    _, kind, sender, sequence, sent_ms, destination, number, view, *own, body = wire
    incarnation, code, revision, digest = own
    body = _mapping(body)
    return Packet(
        kind=PacketKind(kind),
        sender=_number(sender),
        sequence=_number(sequence),
        sent_ms=_number(sent_ms),
        destination=_number(destination),
        number=_number(number),
        view_digest=_number(view),
        status=_status([sender, incarnation, code]),
        settings=_settings(revision, digest),
        statuses=[_status(item) for item in body.get(_STATUSES, ())],
        revisions=[
            (_settings(item[0], item[1]), _unpack(item[2])) for item in body.get(_REVISIONS, ())
        ],
        records=[_record(item) for item in body.get(_RECORDS, ())],
        view_filter=_bytes(body.get(_FILTER, b"")),
        keys=_unpack(body.get(_KEYS, b"")),
    )


def _mapping(value: Any) -> dict[int, Any]:
    if not isinstance(value, dict):
        raise ValueError("body is not a map")
    return value


def _number(value: Any) -> int:
    if type(value) is not int or not 0 <= value < 1 << 64:
        raise ValueError("not an unsigned number of 64 bits")
    return value


def _settings(revision: Any, digest: Any) -> AppliedSettings:
    if not isinstance(digest, str) or len(digest) > MAX_DIGEST_CHARACTERS:
        raise ValueError("bad settings digest")
    return AppliedSettings(_number(revision), digest)


def _status(wire: Any) -> Status:
    health, declared = divmod(_number(wire[2]), len(DECLARED_STATES))
    accuser = _number(wire[3]) if len(wire) > 3 else 0
    return Status(
        _number(wire[0]), _number(wire[1]), DECLARED_STATES[declared], Health(health), accuser
    )


def _record(wire: Any) -> Record:
    identity, key, incarnation, code, revision, digest = wire
    if not isinstance(identity, bytes) or len(identity) > MAX_IDENTITY_BYTES:
        raise ValueError("bad identity")
    return Record(identity, _status([key, incarnation, code]), _settings(revision, digest))


def _bytes(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise ValueError("not a byte string")
    return value


def _unpack(value: Any) -> tuple[int, ...]:
    data = _bytes(value)
    return struct.unpack(f"!{len(data) // 8}Q", data)
