"""Which backend server stands beside this node."""

from collections.abc import Awaitable, Callable

import attrs
import structlog

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.serving._ended_incarnations import EndedIncarnations
from marjoramtide.serving._registration import Registration, is_earlier

log = structlog.get_logger()

# Of an identity that another writer made up; the rest tells nothing more.
MAX_LOGGED_CHARS = 80


class Registrar:
    """Follows the registrations of the backend server beside this node, in any order.

    ``changed`` is called, without a pause in between, before a registration or a departure is
    acknowledged: once the backend server knows that its leaving was heard, no new work reaches it.

    ``fetch_identity`` reads from the backend server itself who it is; it returns an empty string
    where that can't be learned.
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
        # Whether the last start that was registered has said that it leaves.
        self.has_departed = False
        self.ended = EndedIncarnations()
        self.rejected_count = 0

    @property
    def is_ready(self) -> bool:
        """Tell whether a backend server is registered that takes new work."""
        return self.current is not None and not self.current.is_draining

    async def register(self, heard: Registration) -> None:
        """Take one heartbeat; raises ``bad-request`` where it is of another service."""
        if heard.service != self.service:
            raise MarjoramtideError(
                ErrorCode.BAD_REQUEST,
                f"this node serves {self.service!r}, not {heard.service!r}",
                step="serving.register",
                peer=heard.address,
            )
        held = self.current
        if held is not None and held.is_same_incarnation(heard):
            self._update(held, heard)
        elif self.ended.includes(heard):
            self._ignore(heard)
        elif held is None:
            self._register(heard)
        elif await self._supersedes(held, heard):
            self._end(held)
            self._register(heard)

    def reject_malformed(self, instance: str, reason: str) -> None:
        """Count and log a heartbeat or departure that can't be read; it changes nothing."""
        self.rejected_count += 1
        log.warning(
            "serving.registration_malformed",
            code=ErrorCode.BAD_REQUEST,
            step="serving.register",
            instance=instance[:MAX_LOGGED_CHARS],
            reason=reason,
        )

    def note_discovered(self, instance: str, slots: int) -> None:
        """Take a backend server that is sound and states its identity, before its first heartbeat.

        Failure: all nodes lose power and start again. Their backend servers serve on, but the next
        heartbeat of each comes up to an interval later, and until then nobody is served. Only a
        node that has heard nothing yet goes by this: one that has knows more than the identity.
        """
        if self.current is None and not self.ended and instance and slots > 0:
            log.info("serving.found", instance=instance, slots=slots)
            self._register(
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
        """Take the word that a backend server leaves, also before any heartbeat of it came.

        A departure that doesn't tell of which start it is counts for the one that is registered:
        idle until its next start, a server that did not leave harms callers less than new work for
        one that did.
        """
        held = self.current
        is_late = (
            held is not None
            and held.instance == instance
            and is_earlier(start_time_ms, held.start_time_ms)
        )
        log.info("serving.departed", instance=instance, start_time_ms=start_time_ms, late=is_late)
        # Of the start that it tells, which may be a later one than the one that is registered: its
        # first heartbeat may come after it, and must not bring it back.
        self.ended.add(instance, start_time_ms)
        if held is not None and held.instance == instance and not is_late:
            self.has_departed = True
            self._end(held)

    def note_misdirected(self, instance: str) -> None:
        """Note that the backend server says it is ``instance``, not the registered one.

        Its own heartbeat will tell the rest. Until then nothing is sent: what was registered is
        gone, and its address may belong to another service by now.
        """
        held = self.current
        if held is not None and instance and instance != held.instance:
            log.warning("serving.replaced", instance=held.instance, found=instance)
            self._end(held)

    async def _supersedes(self, held: Registration, heard: Registration) -> bool:
        """Tell which of two starts is the later one, by asking whoever listens at the address.

        Failure: a heartbeat that a cut held up arrives after its sender has crashed and a new start
        has registered. Taken for news, it would have every request refused as meant for another
        one, until the next heartbeat; identities alone don't tell which is older.
        """
        if heard.instance == held.instance:
            return held.precedes(heard) or self._ignore(heard)
        stated = await self.fetch_identity()
        if self.current is not held:
            return False
        if stated == held.instance or (not stated and heard.precedes(held)):
            return self._ignore(heard)
        # Where nobody answers, the newcomer is more likely to come up than the old one.
        return True

    def _ignore(self, heard: Registration) -> bool:
        """Leave aside a heartbeat of a start that has ended; never the one that is registered."""
        log.info(
            "serving.registration_late", instance=heard.instance, start_time_ms=heard.start_time_ms
        )
        self.ended.add(heard.instance, heard.start_time_ms)
        return False

    def _register(self, heard: Registration) -> None:
        log.info(
            "serving.registered",
            instance=heard.instance,
            slots=heard.slots,
            draining=heard.is_draining,
            sequence=heard.sequence,
            start_time_ms=heard.start_time_ms,
        )
        self.has_departed = False
        self.current = heard
        self.on_change()

    def _update(self, held: Registration, heard: Registration) -> None:
        if heard.sequence <= held.sequence or (held.is_draining and not heard.is_draining):
            # An older heartbeat that was overtaken. One that has said it is draining is held to it:
            # the acknowledgement promised that nothing new would come.
            return
        self.current = attrs.evolve(
            heard,
            start_time_ms=(
                held.start_time_ms if heard.start_time_ms is None else heard.start_time_ms
            ),
        )
        if heard.is_draining and not held.is_draining:
            log.info("serving.draining", instance=heard.instance)
        self.on_change()

    def _end(self, held: Registration) -> None:
        self.ended.add(held.instance, held.start_time_ms)
        self.current = None
        self.on_change()
