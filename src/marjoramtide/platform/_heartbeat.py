"""What a backend server says of itself on the platform, checked."""

from enum import StrEnum
from typing import Any

import attrs
from attrs.validators import ge, le, matches_re, optional

from marjoramtide.checked import MalformedError, rename_keys, structure_as
from marjoramtide.serving import Registration
from marjoramtide.settings import check_address

# Identities go into the heads of requests and into logs: one line of visible characters.
IDENTITY = r"[!-~]{1,128}"
# Names of services, data centres and releases: printable, and short enough for a log line.
NAME = r"[^\x00-\x1f\x7f]{1,128}"
# Above what any server runs at once; queues and limits are sized by the slots.
MOST_SLOTS = 100_000
# The largest whole number that every JSON writer keeps exactly.
MOST_EXACT = 2**53
# A server that says it is cold for longer than a day is not one of this platform.
MOST_COLD_MS = 86_400_000

BORN: Any = optional([ge(1), le(MOST_EXACT)])  # type: ignore[arg-type]

HEARTBEAT = {"Address": "address", "Info": "info", "Status": "status", "born": "born"}
INFO = {"Service": "service", "Version": "software", "Zone": "data_centre", "Slots": "slots"}
STATUS = {"State": "state", "SeqNo": "sequence", "ColdLeftMs": "cold_left_ms"}


class ServerState(StrEnum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(slots=True)
class ServerInfo:
    """What stays for as long as the server runs."""

    service: str = attrs.field(validator=matches_re(NAME))
    software: str = attrs.field(validator=matches_re(NAME))
    data_centre: str = attrs.field(validator=matches_re(NAME))
    slots: int = attrs.field(validator=[ge(1), le(MOST_SLOTS)])


@attrs.frozen(slots=True)
class ServerStatus:
    """What changes from one heartbeat to the next."""

    state: ServerState
    sequence: int = attrs.field(validator=[ge(0), le(MOST_EXACT)])
    cold_left_ms: float = attrs.field(validator=[ge(0), le(MOST_COLD_MS)])


@attrs.frozen(slots=True)
class Heartbeat:
    """One heartbeat; ``born`` is the Unix millisecond of the start, where the server tells it."""

    address: str = attrs.field(validator=check_address)
    info: ServerInfo
    status: ServerStatus
    born: int | None = attrs.field(default=None, validator=BORN)


@attrs.frozen(slots=True)
class Departure:
    """What may come with the word that a server leaves."""

    born: int | None = attrs.field(default=None, validator=BORN)


@attrs.frozen(slots=True)
class Identity:
    """The identity of a backend server."""

    text: str = attrs.field(validator=matches_re(IDENTITY))


def read_registration(instance: str, body: Any) -> Registration:
    """Read the body of a heartbeat; raises ``MalformedError`` where another writer spoiled it."""
    fields = rename_keys(body, HEARTBEAT)
    for part, names in (("info", INFO), ("status", STATUS)):
        fields[part] = rename_keys(fields.get(part), names)
    if "born" in fields and fields["born"] is None:
        raise MalformedError("born: expected a whole number, got null")
    heard = structure_as(Heartbeat, fields)
    return Registration(
        instance=read_identity(instance),
        address=heard.address,
        service=heard.info.service,
        data_centre=heard.info.data_centre,
        software=heard.info.software,
        slots=heard.info.slots,
        is_draining=heard.status.state is ServerState.DRAINING,
        sequence=heard.status.sequence,
        cold_remaining_s=heard.status.cold_left_ms / 1000,
        start_time_ms=heard.born,
    )


def read_identity(text: str) -> str:
    """Return an identity; raises ``MalformedError`` for what can't be one."""
    return structure_as(Identity, {"text": text}).text


def read_departure(body: Any) -> int | None:
    """Return the time of birth that came with a departure, if any; raises ``MalformedError``."""
    return structure_as(Departure, rename_keys(body, {"born": "born"})).born
