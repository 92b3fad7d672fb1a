"""Which backend server stands beside this node."""

from collections.abc import Awaitable, Callable

import attrs
import structlog

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.serving._ended_starts import EndedStarts
from marjoramtide.serving._registration import Registration, is_earlier

log = structlog.get_logger()

# Of an identity that another writer made up; the rest tells nothing more.
LOGGED_CHARACTERS = 80


class Registrar:
    """Follows the registrations of the backend server beside this node, in any order.

    ``changed`` is called, without a pause in between, before a registration or a departure is
    acknowledged: once the backend server knows that its leaving was heard, no new work reaches it.

    ``ask_identity`` reads from the backend server itself who it is; it returns an empty string
    where that can't be learned.
    """

    def __init__(
        self,
        service: str,
        ask_identity: Callable[[], Awaitable[str]],
        changed: Callable[[], None],
    ) -> None:
        self.service = service
        self.ask_identity = ask_identity
        self.changed = changed
        self.current: Registration | None = None
        # Whether the last start that was registered has said that it leaves.
        self.departed = False
        self.ended = EndedStarts()
        self.refused = 0

    @property
    def is_ready(self) -> bool:
        """Tell whether a backend server is registered that takes new work."""
        return self.current is not None and not self.current.draining

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
        if held is not None and held.is_same_start(heard):
            self._update(held, heard)
        elif self.ended.include(heard):
            self._pass_over(heard)
        elif held is None:
            self._take(heard)
        elif await self._has_replaced(held, heard):
            self._end(held)
            self._take(heard)

    def refuse(self, instance: str, reason: str) -> None:
        """Count and log a heartbeat or departure that can't be read; it changes nothing."""
        self.refused += 1
        log.warning(
            "serving.registration_malformed",
            code=ErrorCode.BAD_REQUEST,
            step="serving.register",
            instance=instance[:LOGGED_CHARACTERS],
            reason=reason,
        )

    def found(self, instance: str, slots: int) -> None:
        """Take a backend server that is sound and states its identity, before its first heartbeat.

        Failure: all nodes lose power and start again. Their backend servers serve on, but the next
        heartbeat of each comes up to an interval later, and until then nobody is served. Only a
        node that has heard nothing yet goes by this: one that has knows more than the identity.
        """
        if self.current is None and not self.ended and instance and slots > 0:
            log.info("serving.found", instance=instance, slots=slots)
            self._take(
                Registration(
                    instance=instance,
                    address="",
                    service=self.service,
                    data_centre="",
                    software="",
                    slots=slots,
                    draining=False,
                    sequence=0,
                    cold_left_s=None,
                )
            )

    def depart(self, instance: str, born: int | None = None) -> None:
        """Take the word that a backend server leaves, also before any heartbeat of it came.

        A departure that doesn't tell of which start it is counts for the one that is registered:
        idle until its next start, a server that did not leave harms callers less than new work for
        one that did.
        """
        held = self.current
        is_late = held is not None and held.instance == instance and is_earlier(born, held.born)
        log.info("serving.departed", instance=instance, born=born, late=is_late)
        # Of the start that it tells, which may be a later one than the one that is registered: its
        # first heartbeat may come after it, and must not bring it back.
        self.ended.add(instance, born)
        if held is not None and held.instance == instance and not is_late:
            self.departed = True
            self._end(held)

    def misdirected(self, instance: str) -> None:
        """Note that the backend server says it is ``instance``, not the registered one.

        Its own heartbeat will tell the rest. Until then nothing is sent: what was registered is
        gone, and its address may belong to another service by now.
        """
        held = self.current
        if held is not None and instance and instance != held.instance:
            log.warning("serving.replaced", instance=held.instance, found=instance)
            self._end(held)

    async def _has_replaced(self, held: Registration, heard: Registration) -> bool:
        """Tell which of two starts is the later one, by asking whoever listens at the address.

        Failure: a heartbeat that a cut held up arrives after its sender has crashed and a new start
        has registered. Taken for news, it would have every request refused as meant for another
        one, until the next heartbeat; identities alone don't tell which is older.
        """
        if heard.instance == held.instance:
            return held.precedes(heard) or self._pass_over(heard)
        stated = await self.ask_identity()
        if self.current is not held:
            return False
        if stated == held.instance or (not stated and heard.precedes(held)):
            return self._pass_over(heard)
        # Where nobody answers, the newcomer is more likely to come up than the old one.
        return True

    def _pass_over(self, heard: Registration) -> bool:
        """Leave aside a heartbeat of a start that has ended; never the one that is registered."""
        log.info("serving.registration_late", instance=heard.instance, born=heard.born)
        self.ended.add(heard.instance, heard.born)
        return False

    def _take(self, heard: Registration) -> None:
        log.info(
            "serving.registered",
            instance=heard.instance,
            slots=heard.slots,
            draining=heard.draining,
            sequence=heard.sequence,
            born=heard.born,
        )
        self.departed = False
        self.current = heard
        self.changed()

    def _update(self, held: Registration, heard: Registration) -> None:
        if heard.sequence <= held.sequence or (held.draining and not heard.draining):
            # An older heartbeat that was overtaken. One that has said it is draining is held to it:
            # the acknowledgement promised that nothing new would come.
            return
        self.current = attrs.evolve(heard, born=held.born if heard.born is None else heard.born)
        if heard.draining and not held.draining:
            log.info("serving.draining", instance=heard.instance)
        self.changed()

    def _end(self, held: Registration) -> None:
        self.ended.add(held.instance, held.born)
        self.current = None
        self.changed()
