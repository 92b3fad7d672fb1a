"""Tracks which backend server is registered at this node."""

from collections.abc import Awaitable, Callable

import attrs
import structlog

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.serving._ended_incarnations import EndedIncarnations
from marjoramtide.serving._registration import Registration, is_earlier

log = structlog.get_logger()

# Longer identities, which only malformed requests contain, are truncated in logs.
MAX_LOGGED_CHARS = 80


class Registrar:
    """Processes heartbeats and departures of the backend server, in any order of arrival.

    ``on_change`` is called synchronously before a heartbeat or departure is acknowledged. After the
    backend server has received the acknowledgement of its departure, no new request reaches it.

    ``fetch_identity`` asks the backend server itself for its identity; it returns an empty string
    if that fails.
    """

    def __init__(
        self,
        service: str,
        fetch_identity: Callable[[], Awaitable[str]],
        on_change: Callable[[], None],
    ) -> None:
        self.service = service
        self.fetch_identity = fetch_identity
        self.on_change = on_change
        self.current: Registration | None = None
        # Whether the last registered incarnation has announced its departure.
        self.has_departed = False
        self.ended = EndedIncarnations()
        self.rejected_count = 0

    @property
    def is_ready(self) -> bool:
        """Return whether a backend server is registered that accepts new requests."""
        return self.current is not None and not self.current.is_draining

    async def register(self, heartbeat: Registration) -> None:
        """Process one heartbeat; raises ``bad-request`` if it is for another service."""
        if heartbeat.service != self.service:
            raise MarjoramtideError(
                ErrorCode.BAD_REQUEST,
                f"this node serves {self.service!r}, not {heartbeat.service!r}",
                step="serving.register",
                peer=heartbeat.address,
            )
        registered = self.current
        if registered is not None and registered.is_same_incarnation(heartbeat):
            self._update(registered, heartbeat)
        elif self.ended.includes(heartbeat):
            self._ignore(heartbeat)
        elif registered is None:
            self._set_current(heartbeat)
        elif await self._supersedes(registered, heartbeat):
            self._clear_current(registered)
            self._set_current(heartbeat)

    def reject_malformed(self, instance: str, reason: str) -> None:
        """Count and log a malformed heartbeat or departure, which has no other effect."""
        self.rejected_count += 1
        log.warning(
            "serving.registration_malformed",
            code=ErrorCode.BAD_REQUEST,
            step="serving.register",
            instance=instance[:MAX_LOGGED_CHARS],
            reason=reason,
        )

    def note_discovered(self, instance: str, slots: int) -> None:
        """Register a healthy backend server by its stated identity, before its first heartbeat.

        If all nodes restart after a power loss while their backend servers keep running, the next
        heartbeats arrive up to one interval later, and no requests would be served until then. This
        applies only if nothing has been received yet; heartbeats contain more than the identity.
        """
        if self.current is None and not self.ended and instance and slots > 0:
            log.info("serving.discovered", instance=instance, slots=slots)
            self._set_current(
                Registration(
                    instance=instance,
                    address="",
                    service=self.service,
                    data_centre="",
                    software="",
                    slots=slots,
                    is_draining=False,
                    sequence=0,
                    cold_remaining_s=None,
                )
            )

    def deregister(self, instance: str, start_time_ms: int | None = None) -> None:
        """Process the departure of a backend server, which may arrive before any heartbeat.

        A departure without a start time is applied to the registered incarnation. A running server
        that stays idle until its next start harms callers less than requests sent to one that has
        left.
        """
        registered = self.current
        is_late = (
            registered is not None
            and registered.instance == instance
            and is_earlier(start_time_ms, registered.start_time_ms)
        )
        log.info("serving.departed", instance=instance, start_time_ms=start_time_ms, late=is_late)
        # The departure may be from a later incarnation than the registered one; if the first
        # heartbeat of that incarnation arrives afterwards, it must not register the server again.
        self.ended.add(instance, start_time_ms)
        if registered is not None and registered.instance == instance and not is_late:
            self.has_departed = True
            self._clear_current(registered)

    def note_misdirected(self, instance: str) -> None:
        """Record that the server at the address states another identity than the registered one.

        No requests are sent until the new server sends a heartbeat: the registered server is gone,
        and its address may now belong to another service.
        """
        registered = self.current
        if registered is not None and instance and instance != registered.instance:
            log.warning("serving.replaced", instance=registered.instance, found=instance)
            self._clear_current(registered)

    async def _supersedes(self, registered: Registration, heartbeat: Registration) -> bool:
        """Return whether a heartbeat of another incarnation replaces the registered one.

        A heartbeat delayed by a network partition may arrive after its sender has crashed and a new
        incarnation has registered. If it were accepted, every request would be rejected as
        misdirected until the next heartbeat. Identities don't show which incarnation is newer, so
        the server at the address is asked.
        """
        if heartbeat.instance == registered.instance:
            return registered.precedes(heartbeat) or self._ignore(heartbeat)
        stated_instance = await self.fetch_identity()
        if self.current is not registered:
            return False
        if stated_instance == registered.instance or (
            not stated_instance and heartbeat.precedes(registered)
        ):
            return self._ignore(heartbeat)
        # If the server doesn't respond, it is more likely that the new one is still starting.
        return True

    def _ignore(self, heartbeat: Registration) -> bool:
        """Ignore a heartbeat of an ended incarnation; returns false.

        Must not be called for the registered incarnation.
        """
        log.info(
            "serving.registration_late",
            instance=heartbeat.instance,
            start_time_ms=heartbeat.start_time_ms,
        )
        self.ended.add(heartbeat.instance, heartbeat.start_time_ms)
        return False

    def _set_current(self, heartbeat: Registration) -> None:
        log.info(
            "serving.registered",
            instance=heartbeat.instance,
            slots=heartbeat.slots,
            draining=heartbeat.is_draining,
            sequence=heartbeat.sequence,
            start_time_ms=heartbeat.start_time_ms,
        )
        self.has_departed = False
        self.current = heartbeat
        self.on_change()

    def _update(self, registered: Registration, heartbeat: Registration) -> None:
        if heartbeat.sequence <= registered.sequence or (
            registered.is_draining and not heartbeat.is_draining
        ):
            # Either an older heartbeat that was overtaken, or a server that revokes its draining.
            # Draining is final, because its acknowledgement promised that no new request follows.
            return
        self.current = attrs.evolve(
            heartbeat,
            start_time_ms=(
                registered.start_time_ms
                if heartbeat.start_time_ms is None
                else heartbeat.start_time_ms
            ),
        )
        if heartbeat.is_draining and not registered.is_draining:
            log.info("serving.draining", instance=heartbeat.instance)
        self.on_change()

    def _clear_current(self, registered: Registration) -> None:
        self.ended.add(registered.instance, registered.start_time_ms)
        self.current = None
        self.on_change()
