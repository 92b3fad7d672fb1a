"""Classification of requests by expected execution time."""

from marjoramtide.errors import MarjoramtideError
from marjoramtide.exchange import NotRunError, Request
from marjoramtide.settings import SettingsView

# Paths are chosen by callers, so the number of classes must be bounded.
MAX_CLASSES = 64


class RequestClassifier:
    """Groups requests by route, method, urgency and the first path segment.

    If lookups and bookings on one route shared an estimate of their execution time, the first
    bookings after many lookups would look like a slow server.
    """

    def __init__(self, view: SettingsView) -> None:
        self.view = view
        self.known: set[str] = set()

    def classify(self, request: Request) -> str:
        """Return the class of a request; raises ``NotRunError`` if its service is unknown."""
        try:
            route = self.view.route(request.service, request.target).route
        except MarjoramtideError as error:
            # The service was removed from the settings. Any error other than NotRunError or
            # UnknownOutcomeError would count as an internal failure with an unknown outcome.
            raise NotRunError(error.code, error.message, step="serving.admit") from error
        segment = request.target[1:].partition("?")[0].partition("/")[0]
        name = f"{request.method} {route} {segment} {request.urgent:d}"
        if name in self.known or len(self.known) < MAX_CLASSES:
            self.known.add(name)
            return name
        return f"{request.method} {route} * {request.urgent:d}"
