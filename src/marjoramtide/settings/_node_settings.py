"""The settings file of one node."""

import ipaddress
import tomllib
from pathlib import Path
from typing import Any

import attrs
import cattrs

from marjoramtide.errors import ErrorCode, MarjoramtideError


def parse_address(text: str) -> tuple[str, int]:
    """Split ``IP:PORT``; raises ``ValueError`` for names, since nodes talk by IP number."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65535:
        raise ValueError(f"port {port} is not between 0 and 65535")
    return host.strip("[]"), int(port)


def _address(_: Any, attribute: "attrs.Attribute[Any]", value: str) -> None:
    try:
        parse_address(value)
    except ValueError as error:
        raise ValueError(f"{attribute.name}: {value!r} is not IP:PORT ({error})") from error


@attrs.frozen(slots=True)
class NodeSettings:
    """What a node is told at start: who it is, where it listens, and the way to the store.

    All addresses are ``IP:PORT`` and explicit; nothing is bound to a wildcard unless it is written
    here. ``key`` is shared by all nodes of a fleet and authenticates peers and datagrams.
    """

    service: str
    region: str
    data_centre: str
    callers: str = attrs.field(validator=_address)
    peers: str = attrs.field(validator=_address)
    gossip: str = attrs.field(validator=_address)
    operators: str = attrs.field(validator=_address)
    backend: str = attrs.field(validator=_address)
    store: str
    key: str = attrs.field(repr=False)
    name: str = ""
    statsd: str = ""
    log_level: str = "info"
    trace_file: str = ""
    stop_grace_s: float = 30.0

    @key.validator
    def _check_key(self, attribute: "attrs.Attribute[Any]", value: str) -> None:
        if len(value) < 16:
            raise ValueError("key: at least 16 characters")


def load_node_settings(path: str) -> NodeSettings:
    """Read and check a node's TOML file; raises ``bad-settings`` naming the key and the value."""
    step = "settings.load"
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise MarjoramtideError(ErrorCode.BAD_SETTINGS, f"{path}: {error}", step=step) from error
    try:
        converter = cattrs.Converter(forbid_extra_keys=True)
        return converter.structure(raw, NodeSettings)
    except cattrs.BaseValidationError as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise MarjoramtideError(ErrorCode.BAD_SETTINGS, f"{path}: {reasons}", step=step) from error
