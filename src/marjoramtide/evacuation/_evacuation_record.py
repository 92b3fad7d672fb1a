"""The stored record of an evacuation."""

import json

import attrs
from attrs.validators import max_len

from marjoramtide.checked import parse_json, structure_as

MAX_AUTHOR_CHARACTERS = 128


@attrs.frozen(slots=True)
class EvacuationRecord:
    """Who has evacuated a data centre, and when, in seconds since the Unix epoch."""

    author: str = attrs.field(default="", validator=max_len(MAX_AUTHOR_CHARACTERS))
    since: float = 0.0

    def encode(self) -> bytes:
        return json.dumps(attrs.asdict(self), separators=(",", ":")).encode()


def decode_record(value: bytes) -> EvacuationRecord:
    """Decode a record; raises ``MalformedError``."""
    return structure_as(EvacuationRecord, parse_json(value))
