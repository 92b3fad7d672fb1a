"""Non-blocking output of log lines."""

import os
import select

# POSIX guarantees that this much can be written without blocking to a pipe that poll() reports
# as writable.
CHUNK_BYTES = select.PIPE_BUF


class NonBlockingOutput:
    """Writes to a file descriptor without blocking; lines that don't fit are dropped and counted.

    Failure: the log collector stalls, and a pipe of 64 kB is full after some hundred lines. A
    blocking write then stops the event loop, and with it every request and the gossip, until the
    collector continues. If the collector has exited, a plain write raises in the code that logs,
    and a request that has run is reported with an unknown outcome. A lost line does less harm;
    ``lost_lines`` counts them for operators.

    It serves as the file of structlog's ``WriteLogger``.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        self.lost_lines = 0
        self.is_line_incomplete = False

    def write(self, text: str) -> None:
        data = text.encode("utf-8", "backslashreplace")
        if self.is_line_incomplete:
            # Terminates a truncated line, so that the next line is not parsed as part of it.
            data = b"\n" + data
        while data:
            if not self.can_write():
                self.lost_lines += 1
                break
            try:
                written = os.write(self.descriptor, data[:CHUNK_BYTES])
            except OSError:
                self.lost_lines += 1
                break
            self.is_line_incomplete = data[written - 1 : written] != b"\n"
            data = data[written:]

    def can_write(self) -> bool:
        return any(event & select.POLLOUT for _, event in self.poll.poll(0))

    def flush(self) -> None:
        """Do nothing: there is no buffer."""
