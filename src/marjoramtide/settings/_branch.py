"""Branches of the settings tree and their paths."""

import re

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings._level import Level

NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
NAME_RULE = "1 to 63 of a-z, 0-9, '-' and '.', beginning and ending with a letter or a digit"
# Workspaces may be named by other systems, and backend servers receive the name unchanged.
WORKSPACE_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._@:+-]{0,126}[A-Za-z0-9])?")
WORKSPACE_NAME_RULE = (
    "1 to 128 of A-Z, a-z, 0-9 and '._@:+-', beginning and ending with a letter or a digit"
)
PATH_FORMS = (
    "/, /workspaces/W, /regions/R, /regions/R/data_centres/D, or one of these but the second "
    "followed by services/S or services/S/routes/PREFIX"
)


@attrs.frozen(slots=True)
class Branch:
    """A node of the settings tree; the empty string or ``None`` stands for "any".

    ``Branch(region="viti-west", service="mapdesk", route="/tiles")`` is written
    ``/regions/viti-west/services/mapdesk/routes/tiles``.
    """

    region: str = ""
    data_centre: str = ""
    service: str = ""
    route: str | None = None
    workspace: str = ""

    @property
    def level(self) -> Level:
        if self.workspace:
            return Level.WORKSPACE
        if self.route is not None:
            return Level.ROUTE
        if self.service:
            return Level.SERVICE
        if self.data_centre:
            return Level.DATA_CENTRE
        return Level.REGION if self.region else Level.ROOT

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the TOML keys on the way from the root to this branch."""
        if self.workspace:
            return ("workspaces", self.workspace)
        parts: tuple[str, ...] = ()
        if self.region:
            parts += ("regions", self.region)
        if self.data_centre:
            parts += ("data_centres", self.data_centre)
        if self.service:
            parts += ("services", self.service)
        if self.route is not None:
            parts += ("routes", self.route)
        return parts

    @property
    def ancestors(self) -> tuple["Branch", ...]:
        """Return the branches that contain this one in the text, the root first."""
        found = [Branch()]
        if self.region:
            found.append(Branch(self.region))
        if self.data_centre:
            found.append(Branch(self.region, self.data_centre))
        if self.service:
            found.append(Branch(self.region, self.data_centre, self.service))
        return tuple(branch for branch in found if branch != self)

    def __str__(self) -> str:
        *parents, last = self.keys or ("",)
        return "/" + "/".join([*parents, last.removeprefix("/")])


def parse_branch(path: str) -> Branch:
    """Parse a path such as ``/services/mapdesk``; raises ``bad-settings`` if it is malformed."""
    parts = path.removeprefix("/").split("/") if path.strip("/") else []
    if len(parts) == 2 and parts[0] == "workspaces":
        return _parse_workspace(path, parts[1])
    found: dict[str, str] = {}
    levels = {"regions": "region", "data_centres": "data_centre", "services": "service"}
    allowed = ["regions", "services"]
    following = {"regions": ["data_centres", "services"], "data_centres": ["services"]}
    while len(parts) >= 2 and parts[0] in allowed:
        kind, name, *parts = parts
        if kind == "routes":
            return Branch(**found, route="/" + "/".join([name, *parts]))
        if not NAME.fullmatch(name):
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS, f"{path}: {name!r} is not {NAME_RULE}", step="settings.path"
            )
        found[levels[kind]] = name
        allowed = following.get(kind, ["routes"])
    if parts or not path.startswith("/"):
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS,
            f"{path!r} is not a branch; allowed: {PATH_FORMS}",
            step="settings.path",
        )
    return Branch(**found)


def _parse_workspace(path: str, name: str) -> Branch:
    if not WORKSPACE_NAME.fullmatch(name):
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS,
            f"{path}: {name!r} is not {WORKSPACE_NAME_RULE}",
            step="settings.path",
        )
    return Branch(workspace=name)
