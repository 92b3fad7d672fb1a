"""One request on a connection, and which responses belong to it."""

from enum import Enum

import attrs


class ResponseMatch(Enum):
    """What the id that a response names tells about it."""

    OWN = "own"
    STRAY = "stray"  # it belongs to another request
    UNNAMED = "unnamed"  # it may belong to an earlier request on the connection


@attrs.frozen(slots=True)
class Exchange:
    """One request on a connection, by which its response is recognized.

    ``is_first`` is true if the connection has carried no request before.
    """

    request_id: str
    is_first: bool

    def match(self, named_request: str) -> ResponseMatch:
        """Return whether a response that names this request id belongs to the exchange.

        A backend server may respond to one request twice, and the second response may arrive when
        the response to the next request is expected. The id tells them apart, since a connection
        carries no id twice. A response without an id is certainly the own one only if no earlier
        request can have caused it.
        """
        if named_request == self.request_id:
            return ResponseMatch.OWN
        if named_request:
            return ResponseMatch.STRAY
        return ResponseMatch.OWN if self.is_first else ResponseMatch.UNNAMED
