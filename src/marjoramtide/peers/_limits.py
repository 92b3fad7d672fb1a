"""Bounds of a connection between nodes."""

# Head fields and an inline body fit; a settings tree of 1 MB with its envelope fits too.
MAX_FRAME_BYTES = 2 * 1024 * 1024
# Before the handshake anybody may send; a nonce, a proof and the name of a lane are far smaller.
MAX_HANDSHAKE_BYTES = 512
# Rare: each end pings each of its connections, and there may be thousands. A peer that has gone
# silent is found by membership, by the guard against stalls, or by deadlines before.
PING_INTERVAL_S = 20.0
PING_TIMEOUT_S = 5.0
STALL_TIMEOUT_S = 2.0
# For the answer to a close: from a peer that lives it comes within a round trip.
CLOSE_TIMEOUT_S = 1.0
# Shorter than the interval of pings, so that connections for single questions cost none.
LINGER_S = 2.5
MAX_OPEN_PER_SESSION = 4096
