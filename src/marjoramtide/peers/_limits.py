"""Limits and timeouts of a connection between nodes."""

# Fits header fields with an inline body, and a settings tree of 1 MB with its envelope.
MAX_FRAME_BYTES = 2 * 1024 * 1024
# Limit for unauthenticated peers; a nonce, a proof and the name of a lane are far smaller.
MAX_HANDSHAKE_BYTES = 512
# Long, since both ends ping each connection, and there may be thousands. A peer that no longer
# responds is detected earlier by membership, by the stall guard or by request deadlines.
PING_INTERVAL_S = 20.0
PING_TIMEOUT_S = 5.0
STALL_TIMEOUT_S = 2.0
# The timeout of the closing handshake, which takes one round trip if the peer is alive.
CLOSE_TIMEOUT_S = 1.0
# Shorter than the ping interval, so that connections for single questions are never pinged.
QUESTION_IDLE_TIMEOUT_S = 2.5
MAX_CONCURRENT_PER_SESSION = 4096
