"""Validated heartbeats of the platform's backend servers."""

from enum import StrEnum
from typing import Any

import attrs
from attrs.validators import ge, le, matches_re, optional

from marjoramtide.checked import MalformedError, rename_keys, structure_as
from marjoramtide.serving import Registration
from marjoramtide.settings import check_address

# Identities are sent in request headers and logged: one line of visible ASCII characters.
IDENTITY = r"[!-~]{1,128}"
# Names of services, data centres and releases: printable and short enough for a log line.
NAME = r"[^\x00-\x1f\x7f]{1,128}"
# More than any server runs concurrently; queues and limits are sized by the slots.
MAX_SLOTS = 100_000
# Every JSON implementation represents integers up to this one exactly.
MAX_SAFE_INTEGER = 2**53
# No server of the platform is cold for longer than a day.
MAX_COLD_MS = 86_400_000

START_TIME: Any = optional([ge(1), le(MAX_SAFE_INTEGER)])  # type: ignore[arg-type]

HEARTBEAT_FIELDS = {"Address": "address", "Info": "info", "Status": "status", "born": "born"}
INFO_FIELDS = {"Service": "service", "Version": "software", "Zone": "data_centre", "Slots": "slots"}
STATUS_FIELDS = {"State": "state", "SeqNo": "sequence", "ColdLeftMs": "cold_left_ms"}


class ServerState(StrEnum):
    """Whether a backend server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(slots=True)
class ServerInfo:
    """Properties that do not change while the server runs."""

    service: str = attrs.field(validator=matches_re(NAME))
    software: str = attrs.field(validator=matches_re(NAME))
    data_centre: str = attrs.field(validator=matches_re(NAME))
    slots: int = attrs.field(validator=[ge(1), le(MAX_SLOTS)])


@attrs.frozen(slots=True)
class ServerStatus:
    """Properties that change between heartbeats."""

    state: ServerState
    sequence: int = attrs.field(validator=[ge(0), le(MAX_SAFE_INTEGER)])
    cold_left_ms: float = attrs.field(validator=[ge(0), le(MAX_COLD_MS)])


@attrs.frozen(slots=True)
class Heartbeat:
    """A heartbeat; ``born`` is the start time in Unix milliseconds, if the server sends it."""

    address: str = attrs.field(validator=check_address)
    info: ServerInfo
    status: ServerStatus
    born: int | None = attrs.field(default=None, validator=START_TIME)


@attrs.frozen(slots=True)
class Departure:
    """The optional body of a deregistration."""

    born: int | None = attrs.field(default=None, validator=START_TIME)


@attrs.frozen(slots=True)
class Identity:
    """The identity of a backend server."""

    text: str = attrs.field(validator=matches_re(IDENTITY))


def read_registration(instance: str, body: Any) -> Registration:
    """Read the body of a heartbeat; raises ``MalformedError`` if it is invalid."""
    fields = rename_keys(body, HEARTBEAT_FIELDS)
    for part, names in (("info", INFO_FIELDS), ("status", STATUS_FIELDS)):
        fields[part] = rename_keys(fields.get(part), names)
    if "born" in fields and fields["born"] is None:
        raise MalformedError("born: expected a whole number, got null")
    heartbeat = structure_as(Heartbeat, fields)
    return Registration(
        instance=read_identity(instance),
        address=heartbeat.address,
        service=heartbeat.info.service,
        data_centre=heartbeat.info.data_centre,
        software=heartbeat.info.software,
        slots=heartbeat.info.slots,
        is_draining=heartbeat.status.state is ServerState.DRAINING,
        sequence=heartbeat.status.sequence,
        cold_remaining_s=heartbeat.status.cold_left_ms / 1000,
        start_time_ms=heartbeat.born,
    )


def read_identity(text: str) -> str:
    """Return an identity; raises ``MalformedError`` if it is invalid."""
    return structure_as(Identity, {"text": text}).text


def read_departure(body: Any) -> int | None:
    """Return the start time in a deregistration, if any; raises ``MalformedError``."""
    return structure_as(Departure, rename_keys(body, {"born": "born"})).born
