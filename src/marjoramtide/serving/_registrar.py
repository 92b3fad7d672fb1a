"""Which backend server stands beside this node."""

from collections import deque
from collections.abc import Awaitable, Callable

import structlog

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.serving._registration import Registration

log = structlog.get_logger()

# Starts of backend servers that are remembered as ended. A heartbeat that a cut held up arrives at
# most minutes late; a server that restarts each second is not remembered longer than that.
KEPT_ENDED = 64


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
        self.ended: deque[str] = deque(maxlen=KEPT_ENDED)

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
        if heard.instance in self.ended:
            log.info("serving.registration_late", instance=heard.instance)
            return
        held = self.current
        if held is None:
            self._take(heard)
        elif held.instance == heard.instance:
            self._update(held, heard)
        elif await self._has_replaced(held, heard):
            self._end(held.instance)
            self._take(heard)

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
                    cold_left_s=0.0,
                )
            )

    def depart(self, instance: str) -> None:
        """Take the word that a backend server leaves, also before any heartbeat of it came."""
        if instance not in self.ended:
            self._end(instance)
            log.info("serving.departed", instance=instance)

    def misdirected(self, instance: str) -> None:
        """Note that the backend server says it is ``instance``, not the registered one.

        Its own heartbeat will tell the rest. Until then nothing is sent: what was registered is
        gone, and its address may belong to another service by now.
        """
        held = self.current
        if held is not None and instance and instance != held.instance:
            log.warning("serving.replaced", instance=held.instance, found=instance)
            self._end(held.instance)

    async def _has_replaced(self, held: Registration, heard: Registration) -> bool:
        """Tell which of two starts is the later one, by asking whoever listens at the address.

        Failure: a heartbeat that a cut held up arrives after its sender has crashed and a new start
        has registered. Taken for news, it would have every request refused as meant for another
        one, until the next heartbeat; identities alone don't tell which is older.
        """
        stated = await self.ask_identity()
        if self.current is not held:
            return False
        if stated == held.instance:
            log.info("serving.registration_late", instance=heard.instance)
            self.ended.append(heard.instance)
            return False
        # Where nobody answers, the newcomer is more likely to come up than the old one.
        return True

    def _take(self, heard: Registration) -> None:
        log.info(
            "serving.registered",
            instance=heard.instance,
            slots=heard.slots,
            draining=heard.draining,
            sequence=heard.sequence,
        )
        self.current = heard
        self.changed()

    def _update(self, held: Registration, heard: Registration) -> None:
        if heard.sequence <= held.sequence or (held.draining and not heard.draining):
            # An older heartbeat that was overtaken. One that has said it is draining is held to it:
            # the acknowledgement promised that nothing new would come.
            return
        self.current = heard
        if heard.draining and not held.draining:
            log.info("serving.draining", instance=heard.instance)
        self.changed()

    def _end(self, instance: str) -> None:
        self.ended.append(instance)
        if self.current is not None and self.current.instance == instance:
            self.current = None
            self.changed()
