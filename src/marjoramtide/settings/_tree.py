"""The settings tree, checked."""

import difflib
import itertools
import json
import tomllib
from collections.abc import Collection, Iterator
from typing import Any

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings._branch import (
    NAME,
    NAME_RULE,
    WORKSPACE_NAME,
    WORKSPACE_NAME_RULE,
    Branch,
)
from marjoramtide.settings._level import Level
from marjoramtide.settings._locality import Locality
from marjoramtide.settings._path_key import PATH
from marjoramtide.settings._resolved_values import Resolved, precedence
from marjoramtide.settings._schema import SCHEMA
from marjoramtide.settings._workspaces import key_fingerprint

STEP = "settings.check"
PROBLEMS_NAMED = 10
# No TOML text begins with a brace.
JSON_BEGINS = "{"
CONTAINERS: dict[Level, tuple[str, ...]] = {
    Level.ROOT: ("regions", "services", "workspaces"),
    Level.REGION: ("data_centres", "services"),
    Level.DATA_CENTRE: ("services",),
    Level.SERVICE: ("routes",),
    Level.ROUTE: (),
    Level.WORKSPACE: (),
}
FIELDS = {"regions": "region", "data_centres": "data_centre", "services": "service"}


@attrs.frozen(slots=True)
class SettingsTree:
    """The values that each branch sets itself, without what it inherits."""

    branches: dict[Branch, dict[str, Any]]

    def services(self) -> list[str]:
        """Return the names of all services, in order."""
        return sorted({branch.service for branch in self.branches if branch.service})

    def own_routes(self, service: str) -> set[str]:
        """Return the route prefixes that branches of a service name, anywhere in the tree."""
        return {
            branch.route
            for branch in self.branches
            if branch.service == service and branch.route is not None
        }

    def routes(self, service: str) -> list[str]:
        """Return the route prefixes of a service with ``/`` for all else, the longest first."""
        found = self.own_routes(service) | {"/"}
        return sorted(found, key=lambda prefix: (-len(prefix), prefix))

    def places(self) -> list[Locality]:
        """Return the places that the tree names, and the one for all others."""
        return [
            Locality(),
            *(
                Locality(branch.region, branch.data_centre)
                for branch in self.branches
                if branch.level in (Level.REGION, Level.DATA_CENTRE)
            ),
        ]

    def hosts(self, service: str) -> list[str]:
        """Return the host names of a service: its own name where it sets none."""
        return self.branches.get(Branch(service=service), {}).get("hosts", [service])

    def workspaces(self) -> Iterator[tuple[str, dict[str, Any]]]:
        """Yield the name of each workspace with its values, those it inherits included."""
        for branch in self.branches:
            if branch.workspace:
                chain = [(each, self.branches.get(each, {})) for each in (Branch(), branch)]
                yield branch.workspace, Resolved.of(chain).values

    def resolve(self, place: Locality, service: str = "", route: str | None = None) -> Resolved:
        """Return the values in force for a service and route prefix at ``place``."""
        chain = [
            (branch, self.branches[branch])
            for branch in precedence(place, service, route)
            if branch in self.branches
        ]
        return Resolved.of(chain)

    def descendants(self, branch: Branch) -> dict[Branch, dict[str, Any]]:
        """Return the branch and all inside it, with their own values."""
        return {
            other: values
            for other, values in self.branches.items()
            if other == branch or branch in other.ancestors
        }


def parse_tree(text: str, places: Collection[Locality] | None = None) -> SettingsTree:
    """Read and check the text of a tree: TOML, or the same tables as JSON.

    JSON is what an adapter writes that makes the tree from another system's configuration: reading
    it takes a thirtieth of the time, which counts where a change brings hundreds of routes.

    Values are checked against each other for all places, or for ``places`` alone: a node that
    applies a revision checks its own place, since the whole was checked before it was written.
    Raises ``bad-settings`` that names each problem with its path, value and what is allowed.
    """
    try:
        raw = json.loads(text) if text.startswith(JSON_BEGINS) else tomllib.loads(text)
    except json.JSONDecodeError as error:
        raise bad_settings([f"not JSON: {error}"]) from error
    except tomllib.TOMLDecodeError as error:
        raise bad_settings([f"not TOML: {error}"]) from error
    branches: dict[Branch, dict[str, Any]] = {}
    problems = list(_read(Branch(), raw, branches))
    tree = SettingsTree(branches)
    if not problems:
        problems = [
            *_check_hosts(tree),
            *_check_services(tree),
            *_check_workspaces(tree),
            *_check_resolved(tree, places),
        ]
    if problems:
        raise bad_settings(problems)
    return tree


def bad_settings(problems: list[str]) -> MarjoramtideError:
    """Return the error that names the first few of ``problems``."""
    named = problems[:PROBLEMS_NAMED]
    more = len(problems) - len(named)
    message = "; ".join([*named, *([f"and {more} more"] if more else [])])
    return MarjoramtideError(ErrorCode.BAD_SETTINGS, message, step=STEP)


def check_value(branch: Branch, key: str, value: Any) -> list[str]:
    """Return what is wrong with ``key = value`` in ``branch``, if anything."""
    spec = SCHEMA.get(key)
    if spec is None:
        allowed = [name for name, spec in SCHEMA.items() if branch.level in spec.levels]
        nearest = nearest_name(key, [*allowed, *CONTAINERS[branch.level]])
        return [f"{branch}: unknown key {key!r}{nearest}"]
    if branch.level not in spec.levels:
        where = ", ".join(level for level in Level if level in spec.levels)
        return [f"{branch}: {key} can't be set on a {branch.level}; allowed on: {where}"]
    if key == "hosts" and branch.region:
        return [f"{branch}: hosts can be set on /services/{branch.service} only"]
    if not spec.accepts(value):
        return [f"{branch}: {key} = {spec.shown(value)}; allowed: {spec.allowed}"]
    return []


def nearest_name(name: str, known: Collection[str]) -> str:
    """Return a hint with the known name nearest to ``name``, or an empty string."""
    close = difflib.get_close_matches(name, known, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def _read(
    branch: Branch, table: dict[str, Any], branches: dict[Branch, dict[str, Any]]
) -> Iterator[str]:
    containers = CONTAINERS[branch.level]
    own = {key: value for key, value in table.items() if key not in containers}
    for key, value in own.items():
        yield from check_value(branch, key, value)
    branches[branch] = {
        key: SCHEMA[key].normalise(value)
        for key, value in own.items()
        if not check_value(branch, key, value)
    }
    for container in containers:
        yield from _read_children(branch, container, table.get(container, {}), branches)


def _read_children(
    branch: Branch, container: str, children: Any, branches: dict[Branch, dict[str, Any]]
) -> Iterator[str]:
    path = f"{str(branch).rstrip('/')}/{container}"
    if not isinstance(children, dict):
        yield f"{path} = {children!r}; allowed: a table of branches"
        return
    for name, table in children.items():
        if not isinstance(table, dict):
            yield f"{path}: {name} = {table!r}; allowed: a branch (a table)"
        elif container == "routes":
            if PATH.fullmatch(name):
                yield from _read(attrs.evolve(branch, route=name), table, branches)
            else:
                yield f"{path}: {name!r} is not a path that begins with /"
        elif container == "workspaces":
            if WORKSPACE_NAME.fullmatch(name):
                yield from _read(attrs.evolve(branch, workspace=name), table, branches)
            else:
                yield f"{path}: {name!r} is not {WORKSPACE_NAME_RULE}"
        elif not NAME.fullmatch(name):
            yield f"{path}: {name!r} is not {NAME_RULE}"
        else:
            yield from _read(attrs.evolve(branch, **{FIELDS[container]: name}), table, branches)


def _check_hosts(tree: SettingsTree) -> Iterator[str]:
    owners: dict[str, str] = {}
    for service in tree.services():
        for host in tree.hosts(service):
            owner = owners.setdefault(host, service)
            if owner != service:
                yield f"/services/{service}: host {host!r} belongs to /services/{owner} already"


def _check_workspaces(tree: SettingsTree) -> Iterator[str]:
    owners: dict[str, Branch] = {}
    for branch, values in tree.branches.items():
        for digest in values.get("key_digests", ()):
            owner = owners.setdefault(digest, branch)
            if owner != branch:
                yield f"{branch}: key {key_fingerprint(digest)} belongs to {owner} already"


def _check_services(tree: SettingsTree) -> Iterator[str]:
    known = [branch.service for branch in tree.branches if branch == Branch(service=branch.service)]
    for branch in tree.branches:
        if branch.service and branch.service not in known:
            nearest = nearest_name(branch.service, known)
            yield f"{branch}: there is no /services/{branch.service}{nearest}"


def _check_resolved(tree: SettingsTree, places: Collection[Locality] | None) -> Iterator[str]:
    """Check values against each other in every combination of place, service and route."""
    checked = tree.places() if places is None else places
    targets: list[tuple[str, str | None]] = [("", None)]
    targets += [(name, route) for name in tree.services() for route in tree.routes(name)]
    found = (
        problem
        for place, (service, route) in itertools.product(checked, targets)
        for problem in tree.resolve(place, service, route).problems()
    )
    yield from dict.fromkeys(found)
