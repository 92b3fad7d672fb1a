"""The settings file of one node."""

import difflib
import ipaddress
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings._branch import NAME, NAME_RULE

NAME_KEYS = ("service", "region", "data_centre")
ADDRESS_KEYS = ("callers", "peers", "gossip", "operators", "backend")
OPTIONAL_ADDRESS_KEYS = ("statsd", "metrics", "readiness", "registration")
LOG_LEVELS = ("debug", "info", "warning", "error")
INTERFACES = ("own", "platform")
MIN_KEY_CHARACTERS = 16
MAX_STOP_GRACE_S = 3600
DEFAULT_MEMORY_MB = 300
MIN_MEMORY_MB = 64
MAX_MEMORY_MB = 1 << 20


def parse_address(text: str) -> tuple[str, int]:
    """Split ``IP:PORT``; raises ``ValueError`` for host names: nodes use IP addresses."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65535:
        raise ValueError(f"port {port} is not between 0 and 65535")
    return host.strip("[]"), int(port)


def check_address(_: Any, attribute: "attrs.Attribute[Any]", value: str) -> None:
    """Raise ``ValueError`` that names the attribute unless its value is ``IP:PORT``."""
    try:
        parse_address(value)
    except ValueError as error:
        raise ValueError(f"{attribute.name}: {value!r} is not IP:PORT ({error})") from error


@attrs.frozen(slots=True)
class NodeSettings:
    """The configuration of a node at start: its identity, its listeners, and its store.

    All addresses are explicit ``IP:PORT``; nothing is bound to a wildcard address unless it is
    written here. ``key`` is shared by all nodes of a fleet and authenticates peers and datagrams.
    ``interface`` selects the protocols towards callers, backend servers and the store. ``metrics``
    is the address where counters and histograms are served, in addition to ``statsd``.
    ``base_tree`` is a TOML file that another system's configuration overlays. ``readiness`` and
    ``registration`` are the listeners for the platform that runs the machines and for the backend
    server, and ``bounds`` are limits that the platform sets, as ``name=value``, if the interface
    has them. ``memory_mb`` is the memory that the process may take, in megabytes: what callers and
    others make it keep is bounded by shares of it.
    """

    service: str
    region: str
    data_centre: str
    callers: str = attrs.field(validator=check_address)
    peers: str = attrs.field(validator=check_address)
    gossip: str = attrs.field(validator=check_address)
    operators: str = attrs.field(validator=check_address)
    backend: str = attrs.field(validator=check_address)
    store: str
    key: str = attrs.field(repr=False)
    name: str = ""
    statsd: str = attrs.field(
        default="", validator=attrs.validators.or_(attrs.validators.in_([""]), check_address)
    )
    log_level: str = "info"
    trace_file: str = ""
    stop_grace_s: float = 30.0
    interface: str = "own"
    base_tree: str = ""
    metrics: str = ""
    readiness: str = ""
    registration: str = ""
    bounds: list[str] = attrs.Factory(list)
    memory_mb: int = DEFAULT_MEMORY_MB

    @key.validator
    def _check_key(self, attribute: "attrs.Attribute[Any]", value: str) -> None:
        if len(value) < MIN_KEY_CHARACTERS:
            raise ValueError(f"key: at least {MIN_KEY_CHARACTERS} characters")


def load_node_settings(path: str) -> NodeSettings:
    """Read and validate a node's TOML file.

    Raises ``bad-settings`` that names every invalid key, its value and what is allowed.
    """
    step = "settings.load"
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise MarjoramtideError(ErrorCode.BAD_SETTINGS, f"{path}: {error}", step=step) from error
    if problems := list(_problems(raw)):
        raise MarjoramtideError(ErrorCode.BAD_SETTINGS, f"{path}: {'; '.join(problems)}", step=step)
    return NodeSettings(**raw)


def _problems(raw: dict[str, Any]) -> Iterator[str]:
    """Yield the problems of a node's file."""
    known = {field.name: field for field in attrs.fields(NodeSettings)}
    for name in raw.keys() - known.keys():
        close = difflib.get_close_matches(name, known, n=1)
        hint = f"; did you mean {close[0]!r}?" if close else ""
        yield f"unknown key {name!r}{hint}"
    for name, field in known.items():
        if name not in raw:
            if field.default is attrs.NOTHING:
                yield f"{name} is missing"
        elif problem := _problem(name, raw[name]):
            yield problem


def _problem(name: str, value: Any) -> str:
    """Return the problem of one value, or an empty string; the shared key is never printed."""
    if name == "stop_grace_s":
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        in_range = is_number and 0 <= value <= MAX_STOP_GRACE_S
        return (
            "" if in_range else f"{name} = {value!r}; allowed: seconds from 0 to {MAX_STOP_GRACE_S}"
        )
    if name == "memory_mb":
        is_whole = isinstance(value, int) and not isinstance(value, bool)
        if is_whole and MIN_MEMORY_MB <= value <= MAX_MEMORY_MB:
            return ""
        return f"{name} = {value!r}; allowed: megabytes from {MIN_MEMORY_MB} to {MAX_MEMORY_MB}"
    if name == "bounds":
        is_string_list = isinstance(value, list) and all(isinstance(text, str) for text in value)
        return "" if is_string_list else f"bounds = {value!r}; allowed: a list of strings"
    if not isinstance(value, str):
        return f"{name}{'' if name == 'key' else f' = {value!r}'}; allowed: a string"
    if name in NAME_KEYS and not NAME.fullmatch(value):
        return f"{name} = {value!r}; allowed: {NAME_RULE}"
    if name in ADDRESS_KEYS or (name in OPTIONAL_ADDRESS_KEYS and value):
        try:
            parse_address(value)
        except ValueError as error:
            return f"{name} = {value!r} is not IP:PORT ({error})"
    if name == "key" and len(value) < MIN_KEY_CHARACTERS:
        return f"key: at least {MIN_KEY_CHARACTERS} characters"
    if name == "store" and not value.startswith(("http://", "https://")):
        return f"{name} = {value!r}; allowed: a URL that begins with http:// or https://"
    if name == "interface" and value not in INTERFACES:
        return f"{name} = {value!r}; allowed: one of {', '.join(INTERFACES)}"
    if name == "log_level" and value not in LOG_LEVELS:
        return f"{name} = {value!r}; allowed: one of {', '.join(LOG_LEVELS)}"
    return ""
