"""Peer ports of nodes that find out about each other's ends, without processes."""

import asyncio
import socket
from collections.abc import Sequence
from typing import Any

import attrs

from bench.model._model_directory import ModelDirectory
from features.steps.peer_links_steps import SilentHandler
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.ingress import PeerEnds
from marjoramtide.membership import Member, MemberState
from marjoramtide.peers import PeerClient, PeerServer
from marjoramtide.serving import InFlightRequest
from marjoramtide.telemetry import Metrics

KEY = "a key for peer ports on loopback only"
HOST = "127.0.0.1"
NOWHERE = "127.0.0.1:9"
# Until a connection stands.
SETTLED_S = 3.0
POLL_S = 0.01


@attrs.define(slots=True, eq=False)
class Place:
    """A node's peer port, and what it puts down to whom."""

    member: Member
    directory: ModelDirectory
    server: PeerServer
    client: PeerClient
    ends: PeerEnds
    blamed: list[int] = attrs.Factory(list)

    @property
    def sessions(self) -> list[Any]:
        assert self.server.server is not None
        return list(self.server.server.connections)

    def end(self) -> None:
        """End as a process does that is killed: nobody listens, and all connections break."""
        assert self.server.server is not None
        # The library's own close needs a turn of the loop.
        self.server.server.server.close()
        for session in self.sessions:
            session.transport.abort()


def make_member(name: str, address: str, data_centre: str = "nadi-hall") -> Member:
    return Member(
        name, "mapdesk", "viti-west", data_centre, address, NOWHERE, NOWHERE, MemberState.READY
    )


async def open_place(context: Any, name: str, data_centre: str = "nadi-hall") -> Place:
    """Start the peer port of a node; all know each other once ``meet`` was called."""
    clock = SystemClock()
    server = PeerServer(KEY, clock, FreezeDetector(clock))
    server.handler = SilentHandler()
    await server.start(HOST, 0)
    assert server.server is not None
    address = "{}:{}".format(*next(iter(server.server.sockets)).getsockname())
    member = make_member(name, address, data_centre)
    client = PeerClient(KEY, clock)

    def report(lost: Member, runs: Sequence[InFlightRequest]) -> None:
        place.blamed += [run.fingerprint for run in runs]

    ends = PeerEnds(client, clock, Metrics(), lambda request, body: 0, report)
    directory = ModelDirectory(member, lambda node: None)
    place = Place(member, directory, server, client, ends)
    context.places.append(place)
    context.closing += [client.close, server.close]
    return place


def meet(context: Any) -> None:
    members = [place.member for place in context.places]
    for place in context.places:
        for member in members:
            place.directory.take(member)


async def until(condition: Any) -> None:
    async with asyncio.timeout(SETTLED_S):
        while not condition():
            await asyncio.sleep(POLL_S)


def listen_silently(context: Any) -> str:
    """Return an address where connections are taken by the system alone."""
    silent = context.cleanup.enter_context(socket.create_server((HOST, 0)))
    return "{}:{}".format(*silent.getsockname())


def end_slowly(place: Place, seconds: float) -> None:
    """End as a process does whose listening socket is closed last, some time after the others."""
    host, _, port = place.member.peer_address.rpartition(":")
    place.end()
    silent = socket.create_server((host, int(port)))
    asyncio.get_running_loop().call_later(seconds, silent.close)
