"""Fuzzes everything that parses bytes from outside the process, for a bounded time.

``python -m bench.fuzz --count 2000 --seed 1``: the frame decoder, the peer handshake, the gossip
codec, the settings tree, platform input (heartbeats, departures, store objects, load headers) and
the HTTP port of a real node each get ``count`` inputs (the port a tenth of them, and a hundredth as
many connections with valid requests in unusual framing, which must be answered). Half of the
inputs are mutations of valid ones, the others are random bytes. An input must be accepted, or
refused with one of ``EXPECTED_ERRORS``, within ``MAX_INPUT_S``; anything else is a fault. The same
seed gives the same inputs. The exit status is 0 only without faults.
"""

import argparse
import asyncio
import itertools
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import attrs
import cbor2

from bench.fuzz_framing import run_framing
from marjoramtide.checked import MalformedError, parse_json
from marjoramtide.claims import is_claim_bulletin, pack_claim, unpack_claim
from marjoramtide.claims._claim_record import ClaimRecord, decode_record
from marjoramtide.claims._claim_state import ClaimState
from marjoramtide.errors import MarjoramtideError
from marjoramtide.evacuation import EvacuationRecord, StoreBulletin, is_store_bulletin
from marjoramtide.evacuation._evacuation_store import read_record
from marjoramtide.evacuation._store_bulletin import unpack_store_bulletin
from marjoramtide.exchange import LoadReport, ServerStatement
from marjoramtide.membership import Member, decode_announcement
from marjoramtide.membership._bulletin import BULLETIN_MAGIC, BulletinCodec
from marjoramtide.membership._member_state import MemberState
from marjoramtide.membership._packet import AppliedSettings, Packet, PacketKind, Status
from marjoramtide.membership._packet_codec import PacketCodec
from marjoramtide.membership._packet_error import PacketError
from marjoramtide.peers._codec import (
    decode,
    encode,
    pack_statement,
    report_fields,
    unpack_headers,
    unpack_report,
    unpack_statement,
)
from marjoramtide.peers._handshake import open_as_client, open_as_server
from marjoramtide.peers._in_flight_session import validate_in_flight_message
from marjoramtide.peers._messages import (
    CreditMessage,
    InFlightMessage,
    ReplyMessage,
    RequestMessage,
)
from marjoramtide.platform._backends import (
    STATEMENT_PARSER,
    read_cold,
    read_load,
    read_retry_after,
)
from marjoramtide.platform._configuration import OperatorConfiguration
from marjoramtide.platform._heartbeat import read_departure, read_registration
from marjoramtide.platform._store_protocol import PlatformStoreProtocol
from marjoramtide.policy import EvacuationSnapshot, ServerCrash, SuspectReport
from marjoramtide.quarantine import (
    is_quarantine_bulletin,
    pack_suspect_reports,
    unpack_suspect_reports,
)
from marjoramtide.quota import is_quota_bulletin
from marjoramtide.quota._messages import TokenGrant, TokenRequest
from marjoramtide.quota._messages import unpack_quota_message as unpack_quota
from marjoramtide.settings import decode_envelope, parse_tree
from marjoramtide.settings.sync._peer_settings import decode_pull_response
from marjoramtide.store import CallOutcome, StoredObject, StoreResponse
from marjoramtide.storecheck import CheckBulletin, is_check_bulletin
from marjoramtide.storecheck._check_bulletin import unpack_check_bulletin
from standins.mesh import Mesh, MeshNode, make_plan
from standins.raw_caller import read_response

KEY = "a key for fuzzing on loopback only"
MAX_INPUT_S = 0.5
TIMEOUT_S = 50.0
HTTP_SHARE = 10
FRAMING_SHARE = 100
PARALLEL = 5
READ_SILENCE_S = 0.15
EXPECTED_ERRORS = (MarjoramtideError, PacketError, MalformedError)
# Fragments that are known to cause errors in parsers.
FRAGMENTS = (
    b"\x00", b"\xff", b"\x9f", b"\x81" * 500, b"\x9b" + b"\xff" * 8, b"\xc2\x41\xff", b"\xd8\x1c",
    b"\r\n", b"\n", b"\r", b" ", b"\t", b":", b"0", b"-1", b"chunked", b"Content-Length: 3\r\n",
    b"Transfer-Encoding: chunked\r\n", b"Host: other\r\n", b"Expect: 100-continue\r\n",
    b"[services]", b"nan", b"inf", b"\"", b"'''", b"=", b"{", b"1e999", b"\xed\xa0\x80",
)  # fmt: skip
REQUEST = RequestMessage(
    1, "mapdesk", "POST", "/x?y=1", [("Host", "mapdesk")], False, False, 900.0, 1, "k", "", 1,
    b"body", False, 4,
)  # fmt: skip
STATEMENT = ServerStatement("i-1", 7.6, True)
STATING_REPORT = LoadReport(1, 5, statement=STATEMENT)
STATING_REQUEST = attrs.evolve(REQUEST, statement=pack_statement(STATEMENT))
PACKET = Packet(
    kind=PacketKind.PING,
    sender=1,
    sequence=2,
    sent_ms=3,
    destination=4,
    number=5,
    view_digest=6,
    status=Status(1, 1, MemberState.READY),
    settings=AppliedSettings(1, "abc"),
    statuses=[Status(2, 1, MemberState.READY)],
    keys=(7, 8),
)
TREE = (
    b"[services.mapdesk]\ntimeout_ms = 500\n[services.mapdesk.routes.\"/a\"]\nidempotent = 'no'\n"
)
HEARTBEAT = (
    b'{"born":1764731292000,"Address":"10.0.0.1:80","Info":{"Service":"s","Version":"v1","Zone":"z",'
    b'"Slots":18},"Status":{"State":"ready","SeqNo":4,"ColdLeftMs":0}}'
)
OBJECT = b'{"Metadata":{"Name":"n","Revision":4},"Specification":{"text":"{\\"node\\":\\"n\\"}"}}'
PAGE = b'{"items":[%b,%b],"HasMore":false,"CurrentRev":5}' % (OBJECT, OBJECT)
EVENTS = b'{"events":[{"Removed":false,"Object":%b}],"CurrentRev":5}' % OBJECT
MEMBER = Member("n", "s", "r", "z", "10.0.0.1:1", "10.0.0.1:1", "10.0.0.1:2")
PROOF = {
    "node": "n",
    "revision": 7,
    "current": True,
    "envelope": b"",
    "news": [],
    "proof_age_ms": 12.5,
}
ANNOUNCEMENT = (
    b'{"node":"n","service":"s","region":"r","data_centre":"z","peer_address":"10.0.0.1:1",'
    b'"gossip_address":"10.0.0.1:1","operators_address":"10.0.0.1:2","refreshed":1.5}'
)
CONFIGURATION = (
    b'{"Version":"r7","Routes":[{"Name":"r","Host":"h.example","PathPrefix":"/a/","Kind":'
    b'"idempotent","TimeoutMs":2000,"TargetLatencyMs":900,"Priority":2,"WeightedSplit":[{"Service":'
    b'"s","Weight":90}],"MaxAttempts":2}],"Services":[{"Name":"s","HealthPath":"/health",'
    b'"MaxConns":100}],"Limits":{"MaxHeaderBytes":16384},"Tenants":[{"Name":"acme","ApiKeys":["k1"'
    b',"k2"],"Priority":1,"RatePerS":136,"Burst":136}]}'
)
HTTP = (
    b"GET /a?b=1 HTTP/1.1\r\nHost: mapdesk\r\nX-A: b\r\n\r\n",
    b"POST /a HTTP/1.1\r\nHost: mapdesk\r\nContent-Length: 5\r\nIdempotency-Key: k\r\n\r\nhello",
    b"PUT / HTTP/1.1\r\nHost: mapdesk\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    b"HEAD / HTTP/1.1\r\nHost: mapdesk\r\nPriority: u=1\r\nRequest-Timeout-Ms: 300\r\n\r\n",
)


@attrs.define(slots=True)
class Tally:
    """The outcomes of the inputs of one target."""

    name: str
    outcomes: Counter[str] = attrs.Factory(Counter)
    faults: list[str] = attrs.Factory(list)

    def fault(self, data: bytes, what: str) -> None:
        """Record an input that was neither accepted nor refused as expected."""
        self.faults.append(f"{self.name}: {what}: {data[:120]!r}")

    def line(self) -> str:
        return (
            f"{self.name:10} {self.outcomes['taken']:6} taken {self.outcomes['refused']:6} refused "
            f"{len(self.faults):3} faults"
        )


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Return ``data`` with a few fragments removed, replaced or inserted."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        start = rng.randrange(len(changed) + 1)
        fragment = rng.choice(FRAGMENTS) if rng.random() < 0.6 else rng.randbytes(rng.randint(0, 4))
        changed[start : start + rng.choice((0, 0, 1, 2, 8))] = fragment
    return bytes(changed)


def make_inputs(rng: random.Random, count: int, *valid: bytes) -> Iterator[bytes]:
    """Yield mutations of valid inputs and random bytes in turn."""
    for number in range(count):
        if number % 2:
            yield rng.randbytes(rng.randint(0, 200))
        else:
            yield mutate(rng, rng.choice(valid))


def run_target(name: str, data: Iterator[bytes], read: Callable[[bytes], Any], end: float) -> Tally:
    """Pass each input to ``read`` and count the outcomes."""
    tally = Tally(name)
    for item in data:
        started = time.monotonic()
        if started > end:
            break
        try:
            read(item)
            tally.outcomes["taken"] += 1
        except EXPECTED_ERRORS:
            tally.outcomes["refused"] += 1
        except Exception as error:
            tally.fault(item, repr(error))
        if time.monotonic() - started > MAX_INPUT_S:
            tally.fault(item, "slow")
    return tally


def read_frame(data: bytes) -> None:
    message = decode(data)
    if isinstance(message, RequestMessage):
        unpack_headers(message.headers)
        unpack_statement(message.statement)


@attrs.define(slots=True)
class ScriptedSocket:
    """A socket that receives prepared frames."""

    frames: list[bytes]

    async def recv(self) -> bytes:
        return self.frames.pop(0) if self.frames else b""

    async def send(self, data: bytes) -> None:
        """Discard sent data."""


def read_handshake(data: bytes) -> None:
    """Let each end of a handshake receive only ``data``; both must refuse it."""
    ends: tuple[Callable[[Any], Awaitable[Any]], ...] = (
        lambda socket: open_as_server(socket, KEY, "peer"),
        lambda socket: open_as_client(socket, KEY, "urgent", "peer"),
    )
    refusals = []
    for end in ends:
        try:
            asyncio.run(end(ScriptedSocket([data])))  # type: ignore[arg-type]
        except MarjoramtideError as error:
            refusals.append(error)
    if len(refusals) < len(ends):
        raise RuntimeError("a handshake without the key was accepted")
    raise refusals[0]


def read_signed(data: bytes) -> Packet:
    """Read a datagram with a valid MAC and arbitrary content."""
    codec = PacketCodec(KEY)
    return codec.decode(codec.mac(data) + data)


def read_tree(data: bytes) -> None:
    parse_tree(data.decode(errors="replace"))


def read_heartbeat(data: bytes) -> None:
    read_registration("i-1", parse_json(data))


def read_page(data: bytes) -> None:
    PlatformStoreProtocol().read_page("kind/", StoreResponse(200, {}, data, CallOutcome.DONE))


def read_events(data: bytes) -> None:
    PlatformStoreProtocol().read_events("kind/", data)


def read_announcement(data: bytes) -> None:
    decode_announcement("announcements/n", data)


def read_configuration(data: bytes) -> None:
    source = OperatorConfiguration({})
    parse_tree(source.decode(StoredObject(source.key, data, 1)).text)


def read_news(data: bytes) -> None:
    """Read a bulletin with a valid MAC and arbitrary content."""
    codec = BulletinCodec(KEY)
    _, fields = codec.decode(BULLETIN_MAGIC + codec.authenticator.seal(data))
    if is_quarantine_bulletin(fields):
        unpack_suspect_reports(fields)
    elif is_store_bulletin(fields):
        unpack_store_bulletin(fields)
    elif is_check_bulletin(fields):
        unpack_check_bulletin(fields)
    elif is_claim_bulletin(fields):
        unpack_claim(fields)
    elif is_quota_bulletin(fields):
        unpack_quota(fields)
    else:
        unpack_report(fields)


def read_proof(data: bytes) -> None:
    """Read a node's response to a query for its settings."""
    message = decode(data)
    if not isinstance(message, ReplyMessage):
        raise MalformedError("no answer")
    decode_pull_response(MEMBER, message.body)


def read_headers(data: bytes) -> None:
    """Read a load, a cold-start and a retry header; unusable values count as accepted."""
    text = data.decode("latin-1")
    read_load(text)
    read_cold(text)
    read_retry_after(text)


def read_statements(data: bytes) -> None:
    """Read the statement headers of a server; it must not be both accepted and refused."""
    texts = data.decode("latin-1").split(";")
    statement, malformed = STATEMENT_PARSER.parse(texts[:1], texts[1:2])
    if malformed and not statement.is_empty and len(malformed) > 1:
        raise RuntimeError("accepted and refused")


def read_epoch(data: bytes) -> None:
    PlatformStoreProtocol().epoch({"Store-Era": data.decode("latin-1")})


async def send(address: str, data: bytes) -> bytes:
    """Send one input; return the response up to the end of the connection or a silence."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        answer = await read_response(reader, READ_SILENCE_S)
        return answer.data
    finally:
        writer.close()


async def is_serving(node: MeshNode) -> bool:
    return (await send(node.callers, HTTP[0])).startswith(b"HTTP/1.1 200 ")


async def run_http_target(data: Iterator[bytes], end: float) -> Tally:
    """Send each input to the callers' port of a real node, and check that it still serves."""
    tally = Tally("http")
    with tempfile.TemporaryDirectory() as folder:
        async with Mesh(Path(folder), make_plan({"mapdesk": 1})) as mesh:
            await mesh.wait_until_ready()
            (node,) = mesh.nodes
            while time.monotonic() < end and (batch := list(itertools.islice(data, PARALLEL))):
                answers = await asyncio.gather(*(send(node.callers, item) for item in batch))
                for item, answer in zip(batch, answers, strict=True):
                    tally.outcomes["taken" if b" 200 OK" in answer else "refused"] += 1
                    if b'details="internal"' in answer:
                        tally.fault(item, "internal error")
            await asyncio.sleep(1.0)  # incomplete requests time out by their deadline
            if not await is_serving(node):
                tally.fault(b"", "the node does not serve any more")
            assert node.process is not None
            errors = [line for line in node.process.text().splitlines() if '"error"' in line]
            for line in errors[:5]:
                tally.fault(line.encode(), "an error in the log")
    return tally


def make_rng(seed: int, name: str) -> random.Random:
    return random.Random(f"{seed} {name}")


def run(count: int, seed: int) -> list[Tally]:
    """Fuzz each target; the inputs depend on ``seed`` alone."""
    end = time.monotonic() + TIMEOUT_S
    http = make_inputs(make_rng(seed, "http"), max(1, count // HTTP_SHARE), *HTTP)
    return [
        *run_readers(count, seed, end),
        asyncio.run(run_http_target(http, end)),
        run_framing_target(max(1, count // FRAMING_SHARE), seed, end),
    ]


def run_framing_target(count: int, seed: int, end: float) -> Tally:
    """Send valid requests in chunks of any size, ahead and in any pieces, to a real node."""
    tally = Tally("framing")
    for line in run_framing(count, seed, end):
        tally.fault(line.encode(), "not answered in full")
    tally.outcomes["taken"] = count - len(tally.faults)
    return tally


def run_readers(count: int, seed: int, end: float) -> list[Tally]:
    """Fuzz all readers that need no node, until ``end`` on the monotonic clock."""
    packet = PacketCodec(KEY).encode(PACKET)
    frames = (encode(REQUEST), encode(STATING_REQUEST), encode(CreditMessage(1, 2)))
    envelope = cbor2.dumps({"revision": 1, "text": TREE.decode()})

    rng = partial(make_rng, seed)
    hello = cbor2.dumps([b"a" * 16, "urgent"])
    tallies = [
        run_target("frames", make_inputs(rng("frames"), count, *frames), read_frame, end),
        run_target("handshake", make_inputs(rng("handshake"), count, hello), read_handshake, end),
        run_target(
            "datagrams", make_inputs(rng("gossip"), count, packet), PacketCodec(KEY).decode, end
        ),
        run_target("gossip", make_inputs(rng("signed"), count, packet[16:]), read_signed, end),
        run_target("settings", make_inputs(rng("settings"), count, TREE), read_tree, end),
        run_target(
            "envelopes", make_inputs(rng("envelopes"), count, envelope), decode_envelope, end
        ),
    ]
    suspicion = SuspectReport(7, (ServerCrash(1, 0.5, 0.1),), (2,), 1.0)
    (fields,) = pack_suspect_reports([suspicion])
    news = cbor2.dumps([5, *fields])
    evacuated = StoreBulletin(1, EvacuationSnapshot(7, frozenset(("a",)), (("b", 3.0),)))
    record = ClaimRecord("a", "n", "d", ClaimState.HELD, 5.0)
    claim = record.encode()
    readers: dict[str, tuple[Callable[[bytes], Any], bytes]] = {
        "heartbeats": (read_heartbeat, HEARTBEAT),
        "departures": (lambda data: read_departure(parse_json(data)), b'{"born":1764731292000}'),
        "objects": (read_page, PAGE),
        "events": (read_events, EVENTS),
        "announced": (read_announcement, ANNOUNCEMENT),
        "configured": (read_configuration, CONFIGURATION),
        "claims": (decode_record, claim),
        "headers": (read_headers, b"3,0,8,250"),
        "statements": (read_statements, b"7.6;1"),
        "reports": (read_news, cbor2.dumps([5, *report_fields(STATING_REPORT)])),
        "news": (read_news, news),
        "store news": (read_news, cbor2.dumps([5, *evacuated.pack()])),
        "checks": (read_news, cbor2.dumps([5, *CheckBulletin(7, 0.2).pack()])),
        "quotas": (read_news, cbor2.dumps([5, *TokenRequest(7, "acme", 3, 1).pack()])),
        "tokens": (read_news, cbor2.dumps([5, *TokenGrant(7, 3, 50).pack()])),
        "proofs": (read_proof, encode(ReplyMessage(7, PROOF, "", ""))),
        "claim news": (read_news, cbor2.dumps([5, *pack_claim("claims/1/s/2", record)])),
        "evacuated": (lambda data: read_record("a", data), EvacuationRecord("me", 1.5).encode()),
        "epochs": (read_epoch, b"3"),
        "runs": (
            lambda data: validate_in_flight_message(decode(data)),
            encode(InFlightMessage("n", [[1, 2]], [3])),
        ),
    }
    tallies += [
        run_target(name, make_inputs(rng(name), count, valid), read, end)
        for name, (read, valid) in readers.items()
    ]
    return tallies


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    tallies = run(options.count, options.seed)
    for tally in tallies:
        print(tally.line())
    faults = [fault for tally in tallies for fault in tally.faults]
    print(*faults[:20], sep="\n", end="\n" if faults else "")
    total = sum(sum(tally.outcomes.values()) for tally in tallies)
    print(f"fuzz: seed {options.seed}, {total} inputs, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
