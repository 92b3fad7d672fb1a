"""How a node's memory and descriptors are divided among those that connect to it."""

import resource

import attrs

MB = 1024 * 1024
# What a node takes without any client: the interpreter, the libraries, the fleet's state.
OWN_MB = 60
# Where less than this is left, no division of it makes sense.
MIN_SHARED_MB = 16
# Shares of the rest. What remains is for the other nodes, whose windows and connections are
# bounded, and for what the allocator does not give back, which is more than what is held.
CALLERS_SHARE = 1 / 4
CALLERS_UNREAD_SHARE = 1 / 4
OTHER_PORT_SHARE = 1 / 48
# Shares of the descriptors; the rest is for peers, the backend server and the store.
CALLERS_DESCRIPTORS = 1 / 2
OTHER_PORT_DESCRIPTORS = 1 / 64
STRANGERS_DESCRIPTORS = 1 / 8
MIN_OTHER_CONNECTIONS = 8
MIN_OTHER_PORT_BYTES = 2 * MB
# Receive buffers below this slow a caller's upload down, above it the system sizes them better.
MIN_RECEIVE_BYTES = 16 * 1024
MAX_RECEIVE_BYTES = 256 * 1024


@attrs.frozen(slots=True)
class ConnectionLimits:
    """What all connections of one port together may take.

    ``connections`` is their number, ``held_bytes`` what this process keeps for them in its own
    memory, and ``receive_bytes`` what the system keeps unread for each.
    """

    connections: int
    held_bytes: int
    receive_bytes: int


@attrs.frozen(slots=True)
class MemoryShares:
    """The division of ``memory_mb`` megabytes and of ``descriptors``.

    For example, of 300 MB and 4,100 descriptors callers get 2,050 connections, 60 MB for what the
    process keeps for them, and 30 kB each of what the system has received and nobody read.
    """

    memory_mb: int
    descriptors: int

    @property
    def shared_bytes(self) -> int:
        """Return the bytes that clients and peers may take together."""
        return max(MIN_SHARED_MB, self.memory_mb - OWN_MB) * MB

    def callers(self) -> ConnectionLimits:
        """Return the limits of the callers' port."""
        unread_bytes = self.shared_bytes * CALLERS_UNREAD_SHARE
        connections = min(self.descriptors * CALLERS_DESCRIPTORS, unread_bytes / MIN_RECEIVE_BYTES)
        receive_bytes = unread_bytes / max(1.0, connections)
        return ConnectionLimits(
            connections=max(1, int(connections)),
            held_bytes=int(self.shared_bytes * CALLERS_SHARE),
            receive_bytes=int(min(MAX_RECEIVE_BYTES, receive_bytes)),
        )

    def other_port(self) -> ConnectionLimits:
        """Return the limits of a port for the platform, operators or the backend server."""
        held_bytes = max(MIN_OTHER_PORT_BYTES, int(self.shared_bytes * OTHER_PORT_SHARE))
        connections = max(MIN_OTHER_CONNECTIONS, int(self.descriptors * OTHER_PORT_DESCRIPTORS))
        return ConnectionLimits(connections, held_bytes, MIN_RECEIVE_BYTES)

    def strangers(self) -> int:
        """Return how many connections to the peer port may be without proof of the key."""
        return max(MIN_OTHER_CONNECTIONS, int(self.descriptors * STRANGERS_DESCRIPTORS))


def memory_shares(memory_mb: int) -> MemoryShares:
    """Return the division of this memory and of the descriptors that the process may open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = 1 << 30
    return MemoryShares(memory_mb, descriptors)
