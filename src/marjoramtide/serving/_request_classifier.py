"""Which requests take about as long as each other."""

from marjoramtide.errors import MarjoramtideError
from marjoramtide.exchange import NotRunError, Request
from marjoramtide.settings import SettingsView

# Callers make up paths, so the number of kinds that are told apart is bounded.
MAX_KINDS = 64


class RequestClassifier:
    """Names requests by route, method, class and the first segment of the path.

    A lookup and a booking that share a route would otherwise share one estimate, and the first
    bookings after many lookups look like a server that has turned slow.
    """

    def __init__(self, view: SettingsView) -> None:
        self.view = view
        self.known: set[str] = set()

    def classify(self, request: Request) -> str:
        """Return the kind of a request; raises ``NotRunError`` where its service is not known."""
        try:
            route = self.view.route(request.service, request.target).route
        except MarjoramtideError as error:
            # The settings have lost the service. Only these two kinds of error tell whether a
            # request ran: any other passes for a fault of the node, and so for "unknown".
            raise NotRunError(error.code, error.message, step="serving.admit") from error
        segment = request.target[1:].partition("?")[0].partition("/")[0]
        name = f"{request.method} {route} {segment} {request.urgent:d}"
        if name in self.known or len(self.known) < MAX_KINDS:
            self.known.add(name)
            return name
        return f"{request.method} {route} * {request.urgent:d}"
