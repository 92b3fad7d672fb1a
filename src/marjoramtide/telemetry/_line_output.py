"""Where the lines of the log go."""

import os
import select

# What POSIX promises of a pipe that poll() calls writable: so much can be written without waiting.
PIECE_BYTES = select.PIPE_BUF


class LineOutput:
    """Writes to a file descriptor and never waits; what doesn't fit is dropped and counted.

    Failure: whoever collects the lines stalls, and a pipe of 64 kB is full after some hundred of
    them. A plain write then stops the event loop, and with it every request and the gossip, until
    the collector goes on. Where the collector has ended, a plain write raises, in the middle of
    whatever wrote the line: a booking that ran would be told of as unknown. A lost line is the
    lesser harm; operators find the number of them in ``lost``.

    It is the file that structlog's ``WriteLogger`` is given.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        self.lost = 0
        self.line_is_open = False

    def write(self, text: str) -> None:
        data = text.encode("utf-8", "backslashreplace")
        if self.line_is_open:
            # The next line would else be read as the rest of one that was broken off.
            data = b"\n" + data
        while data:
            if not self.can_write():
                self.lost += 1
                break
            try:
                written = os.write(self.descriptor, data[:PIECE_BYTES])
            except OSError:
                self.lost += 1
                break
            self.line_is_open = data[written - 1 : written] != b"\n"
            data = data[written:]

    def can_write(self) -> bool:
        return any(event & select.POLLOUT for _, event in self.poll.poll(0))

    def flush(self) -> None:
        """Do nothing: no byte is held back here."""
