"""Peer ports of nodes that detect each other's crashes, without processes."""

import asyncio
import socket
from collections.abc import Sequence
from typing import Any

import attrs

from bench.model._model_directory import ModelDirectory
from features.steps.peer_links_steps import SilentHandler
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.ingress import PeerCrashDetector
from marjoramtide.membership import Member, MemberState
from marjoramtide.peers import PeerClient, PeerServer
from marjoramtide.serving import InFlightRequest
from marjoramtide.telemetry import Metrics

KEY = "a key for peer ports on loopback only"
HOST = "127.0.0.1"
NOWHERE = "127.0.0.1:9"
# The timeout for connections to be set up.
SETTLED_S = 3.0
POLL_S = 0.01


@attrs.define(slots=True, eq=False)
class PeerNode:
    """A node's peer port, and the fingerprints of the runs that it blames for crashes."""

    member: Member
    directory: ModelDirectory
    server: PeerServer
    client: PeerClient
    crash_detector: PeerCrashDetector
    blamed: list[int] = attrs.Factory(list)

    @property
    def sessions(self) -> list[Any]:
        assert self.server.server is not None
        return list(self.server.server.connections)

    def kill(self) -> None:
        """Stop as a killed process does: the port is closed, and all connections break."""
        assert self.server.server is not None
        # The close method of the websockets library takes an iteration of the event loop.
        self.server.server.server.close()
        for session in self.sessions:
            session.transport.abort()


def make_member(name: str, address: str, data_centre: str = "nadi-hall") -> Member:
    return Member(
        name, "mapdesk", "viti-west", data_centre, address, NOWHERE, NOWHERE, MemberState.READY
    )


async def open_peer_node(context: Any, name: str, data_centre: str = "nadi-hall") -> PeerNode:
    """Start the peer port of a node; the nodes know each other once ``meet`` was called."""
    clock = SystemClock()
    server = PeerServer(KEY, clock, FreezeDetector(clock))
    server.handler = SilentHandler()
    await server.start(HOST, 0)
    assert server.server is not None
    address = "{}:{}".format(*next(iter(server.server.sockets)).getsockname())
    member = make_member(name, address, data_centre)
    client = PeerClient(KEY, clock)

    def report(lost: Member, runs: Sequence[InFlightRequest]) -> None:
        peer_node.blamed += [run.fingerprint for run in runs]

    crash_detector = PeerCrashDetector(client, clock, Metrics(), lambda request, body: 0, report)
    directory = ModelDirectory(member, lambda node: None)
    peer_node = PeerNode(member, directory, server, client, crash_detector)
    context.peer_nodes.append(peer_node)
    context.closing += [client.close, server.close]
    return peer_node


def meet(context: Any) -> None:
    members = [peer_node.member for peer_node in context.peer_nodes]
    for peer_node in context.peer_nodes:
        for member in members:
            peer_node.directory.apply_update(member)


async def until(condition: Any) -> None:
    async with asyncio.timeout(SETTLED_S):
        while not condition():
            await asyncio.sleep(POLL_S)


def listen_silently(context: Any) -> str:
    """Return an address where connections are accepted by the operating system only."""
    silent = context.cleanup.enter_context(socket.create_server((HOST, 0)))
    return "{}:{}".format(*silent.getsockname())


def stop_slowly(peer_node: PeerNode, seconds: float) -> None:
    """Stop as a process does whose listening socket is closed ``seconds`` after the others."""
    host, _, port = peer_node.member.peer_address.rpartition(":")
    peer_node.kill()
    silent = socket.create_server((host, int(port)))
    asyncio.get_running_loop().call_later(seconds, silent.close)
