"""What the clients of a crowd send."""

import attrs

# Each is the size of one write of a client, in bytes, or near it.
PIECE_BYTES = 16 * 1024
LINE_BYTES = 8000
LONG_BODY_BYTES = 1_000_000
SHORT_CHUNK = b"1\r\na\r\n"
# A long body is one that is streamed; in chunks of one byte it takes six times its size.
SHORT_CHUNKS = 100_000
UNREAD_BODY_BYTES = 60_000
PIECE_PAUSE_S = 0.002


@attrs.frozen(slots=True)
class Target:
    """Where requests are addressed: the ``Host``, a path, and the headers of the protocol."""

    host: str
    path: str
    headers: str = ""

    def head(self, method: str, path_suffix: str = "", headers: str = "") -> bytes:
        """Return a request head without its last empty line."""
        return (
            f"{method} {self.path}{path_suffix} HTTP/1.1\r\n"
            f"Host: {self.host}\r\n{self.headers}{headers}"
        ).encode()


@attrs.frozen(slots=True)
class Attack:
    """What each client sends: ``start`` once, then ``piece`` for ``pieces`` times, and no more.

    ``pause_s`` lies between two pieces, in seconds, so that each arrives by itself.
    """

    start: bytes
    piece: bytes
    pieces: int
    pause_s: float = 0.0


def repeat(unit: bytes, count: int) -> tuple[bytes, int]:
    """Return a piece of about ``PIECE_BYTES`` and how many of it hold ``count`` units."""
    in_piece = max(1, min(count, PIECE_BYTES // len(unit)))
    return unit * in_piece, max(1, count // in_piece)


def make_attack(name: str, target: Target) -> Attack:
    """Return an attack by its name; raises ``ValueError`` for an unknown one."""
    chunked = target.head("POST", headers="Transfer-Encoding: chunked\r\n") + b"\r\n"
    line = b"X-Field: " + b"a" * LINE_BYTES + b"\r\n"
    match name:
        case "heads over the limit":
            return Attack(target.head("GET"), line, 95)
        case "heads without end":
            return Attack(target.head("GET") + b"X-Field: ", b"a" * PIECE_BYTES, 64)
        case "empty lines before a request":
            return Attack(b"", b"\r\n" * (PIECE_BYTES // 2), 256)
        case "empty lines after a request":
            return Attack(target.head("GET") + b"\r\n", b"\r\n" * (PIECE_BYTES // 2), 256)
        case "bodies in large chunks, short of their end":
            size = LONG_BODY_BYTES // 16
            chunk = b"%x\r\n%b\r\n" % (size, b"a" * size)
            return Attack(chunked, chunk, 16)
        case "bodies in very small chunks, short of their end":
            return Attack(chunked, *repeat(SHORT_CHUNK, SHORT_CHUNKS))
        case "bodies with a length, short of their end":
            head = target.head("POST", headers=f"Content-Length: {LONG_BODY_BYTES + 1}\r\n")
            return Attack(head + b"\r\n", b"a" * (LONG_BODY_BYTES // 64), 64)
        case "bodies below the size that is streamed, short of their end":
            head = target.head("POST", headers="Content-Length: 65000\r\n")
            return Attack(head + b"\r\n", b"a" * 64_000, 1)
        case "a chunk extension without end":
            return Attack(chunked + b"5;", b"a" * PIECE_BYTES, 64)
        case "trailers without end":
            return Attack(chunked + b"5\r\nhello\r\n0\r\n", line, 95)
        case "requests ahead, answers unread":
            unread = target.head("GET", f"?bytes={UNREAD_BODY_BYTES}")
            return Attack(b"", *repeat(unread + b"\r\n", 5000))
        case "large requests ahead, answers unread":
            unread = target.head("GET", f"?bytes={UNREAD_BODY_BYTES}")
            return Attack(b"", unread + b"X-Field: " + b"a" * 7000 + b"\r\n\r\n", 500)
        case "requests for long answers, unread":
            unread = target.head("GET", f"?bytes={LONG_BODY_BYTES}")
            return Attack(b"", unread + b"\r\n", 20)
        case "bodies in pieces of one byte":
            return Attack(chunked, SHORT_CHUNK, 20_000, pause_s=PIECE_PAUSE_S)
        case "nothing":
            return Attack(b"", b"", 0)
    raise ValueError(f"no attack {name!r}")
