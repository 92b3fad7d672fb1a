"""What was changed and disturbed during a soak, for the judges of changes."""

import attrs


@attrs.frozen(slots=True)
class RouteMove:
    """A configuration that sends a route to a service, acknowledged at this Unix time."""

    acked_at: float
    service: str


@attrs.define(slots=True)
class Evacuation:
    """An evacuated data centre, from its acknowledgement to just before it was taken back."""

    data_centre: str
    acked_at: float
    ended_at: float = float("inf")


@attrs.define(slots=True)
class Disturbance:
    """A time during which something was disturbed; ``host`` is ``None`` for the store.

    ``is_partial`` is whether the store served some nodes all the while.
    """

    began_at: float
    ended_at: float = float("inf")
    host: int | None = None
    is_partial: bool = False


@attrs.define(slots=True)
class Timeline:
    """All changes of the store's content and all disturbances, by Unix time."""

    moves: list[RouteMove] = attrs.Factory(list)
    evacuations: list[Evacuation] = attrs.Factory(list)
    disturbances: list[Disturbance] = attrs.Factory(list)

    def begin(self, at: float, host: int | None = None, *, is_partial: bool = False) -> Disturbance:
        """Record the beginning of a disturbance and return it; its end is set later."""
        disturbance = Disturbance(at, host=host, is_partial=is_partial)
        self.disturbances.append(disturbance)
        return disturbance
