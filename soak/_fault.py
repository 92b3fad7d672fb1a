"""Faults of a soak and the times at which they are in force."""

import attrs

# Faults that a backend server causes itself, by what they do to a share of its requests.
SERVER_FAULTS = {
    "late": "an answer is sent a second time, where the connection's next answer is expected",
    "shed": "rejected as not run",
    "unstated": "run, and answered 408, 429 or 503 without a statement that it has not run",
    "errors": "run, and answered 500",
    "lost": "run, and the connection is reset, closed or left silent in place of an answer",
    "cut": "run, and the answer breaks off",
    "unframed": "run, and the answer has no length",
    "early": "a long request is rejected before it is in; the connection is kept and read on",
    "garbage": "run, and bytes that are no answer are sent in its place or after it",
    "endless": "run, and bytes that are no answer are sent without end",
    "forget": "a connection that rested is closed at its next request",
    "hang": "neither run nor answered",
    "slow": "runs eight times as long",
    "ill": "health says that it leaves, and it does not",
    "full": "the connection of a request is reset before it is run",
}
# Faults from outside, by what is done to a process.
PROCESS_FAULTS = {
    "server-kill": "SIGKILL; the next incarnation comes up at the same address",
    "server-pause": "SIGSTOP, then SIGCONT",
    "server-drain": "SIGTERM: it drains, leaves and is replaced",
    "node-kill": "SIGKILL, then started again",
    "node-pause": "SIGSTOP, then SIGCONT; its links are lost if that takes long",
    "node-stop": "SIGTERM, then started again",
    "store": "the store resets all connections",
    "settings": "another configuration is written",
    "burst": "callers send three times as much",
}
# Disturbed connections from other nodes to one node. They are drawn only where they are added, so
# that a plan without them stays as it is.
LINK_FAULTS = {
    "link-reset": "reset",
    "link-silence": "open connections fall silent, new ones work",
    "link-cut": "nothing passes, on new connections either",
    "link-hold": "what is sent arrives later",
}
LINKS = "links"
# What the store gives the nodes that watch or read it when the fault begins. Then the nodes that do
# so by then have the same for as long again. Drawn only where they are added.
STORE_FAULTS = {
    "store-silence": "no answer; answers that are due are lost",
    "store-reset": "resets",
    "store-refusal": "503",
    "watch-silence": "no answer to watches",
    "watch-reset": "resets of watches",
    "watch-refusal": "503 to watches",
}
# What operators change in the store meanwhile.
STORE_CHANGES = {
    "move": "a configuration moves a route to another service",
    "evacuate": "a data centre is evacuated, and taken back after the time of the fault",
}
STORE = "store-access"
# Clients outside the limits at one node's callers port. Drawn only where they are added.
CROWD_FAULTS = {
    "crowd-heads": "heads over the limit",
    "crowd-lines": "empty lines before a request",
    "crowd-chunks": "bodies in large chunks, short of their end",
    "crowd-pieces": "bodies in very small chunks, short of their end",
    "crowd-ahead": "large requests ahead, answers unread",
}
CROWDS = "crowds"


@attrs.frozen(slots=True)
class Fault:
    """A fault in force from ``at_s`` for ``for_s`` seconds, counted from the start of the load.

    ``target`` is the number of the host whose server or node has it. ``share`` is the share of the
    requests, for faults of a server.
    """

    kind: str
    at_s: float
    for_s: float
    target: int = 0
    share: float = 0.0

    def is_in_force(self, elapsed_s: float) -> bool:
        """Return whether the fault is in force at a time."""
        return self.at_s <= elapsed_s < self.at_s + self.for_s

    def line(self) -> str:
        """Return the fault as one line for reports."""
        share = f" share {self.share:.2f}" if self.share else ""
        return f"{self.at_s:6.2f} s for {self.for_s:4.1f} s  {self.kind} at {self.target}{share}"
