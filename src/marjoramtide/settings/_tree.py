"""The validated settings tree."""

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
from marjoramtide.settings._resolved_values import ResolvedValues, precedence
from marjoramtide.settings._schema import SCHEMA
from marjoramtide.settings._workspaces import key_fingerprint

STEP = "settings.check"
MAX_REPORTED_PROBLEMS = 10
# No TOML document begins with a brace.
JSON_PREFIX = "{"
CONTAINERS: dict[Level, tuple[str, ...]] = {
    Level.ROOT: ("regions", "services", "workspaces"),
    Level.REGION: ("data_centres", "services"),
    Level.DATA_CENTRE: ("services",),
    Level.SERVICE: ("routes",),
    Level.ROUTE: (),
    Level.WORKSPACE: (),
}
BRANCH_FIELDS = {"regions": "region", "data_centres": "data_centre", "services": "service"}


@attrs.frozen(slots=True)
class SettingsTree:
    """The values that each branch sets itself, without inherited ones."""

    branches: dict[Branch, dict[str, Any]]

    def services(self) -> list[str]:
        """Return the names of all services, in order."""
        return sorted({branch.service for branch in self.branches if branch.service})

    def declared_routes(self, service: str) -> set[str]:
        """Return the route prefixes that any branch of a service names."""
        return {
            branch.route
            for branch in self.branches
            if branch.service == service and branch.route is not None
        }

    def routes(self, service: str) -> list[str]:
        """Return the route prefixes of a service and the catch-all ``/``, the longest first."""
        found = self.declared_routes(service) | {"/"}
        return sorted(found, key=lambda prefix: (-len(prefix), prefix))

    def localities(self) -> list[Locality]:
        """Return the localities that the tree names, and the one for all others."""
        return [
            Locality(),
            *(
                Locality(branch.region, branch.data_centre)
                for branch in self.branches
                if branch.level in (Level.REGION, Level.DATA_CENTRE)
            ),
        ]

    def hosts(self, service: str) -> list[str]:
        """Return the host names of a service; by default its own name."""
        return self.branches.get(Branch(service=service), {}).get("hosts", [service])

    def workspaces(self) -> Iterator[tuple[str, dict[str, Any]]]:
        """Yield the name and resolved values of each workspace."""
        for branch in self.branches:
            if branch.workspace:
                chain = [(each, self.branches.get(each, {})) for each in (Branch(), branch)]
                yield branch.workspace, ResolvedValues.from_chain(chain).values

    def resolve(
        self, locality: Locality, service: str = "", route: str | None = None
    ) -> ResolvedValues:
        """Return the values in force for a service and route prefix at ``locality``."""
        chain = [
            (branch, self.branches[branch])
            for branch in precedence(locality, service, route)
            if branch in self.branches
        ]
        return ResolvedValues.from_chain(chain)

    def descendants(self, branch: Branch) -> dict[Branch, dict[str, Any]]:
        """Return the branch and all branches inside it, with their own values."""
        return {
            other: values
            for other, values in self.branches.items()
            if other == branch or branch in other.ancestors
        }


def parse_tree(text: str, localities: Collection[Locality] | None = None) -> SettingsTree:
    """Parse and validate the text of a tree: TOML, or the same tables as JSON.

    Adapters that translate another system's configuration write JSON: parsing it takes a thirtieth
    of the time, which matters if a change has hundreds of routes.

    Values are checked against each other for all localities, or only for ``localities``: a node
    that applies a revision checks its own, since all were checked before the revision was written.
    Raises ``bad-settings`` that names each problem with its path, value and what is allowed.
    """
    try:
        raw = json.loads(text) if text.startswith(JSON_PREFIX) else tomllib.loads(text)
    except json.JSONDecodeError as error:
        raise bad_settings([f"not JSON: {error}"]) from error
    except tomllib.TOMLDecodeError as error:
        raise bad_settings([f"not TOML: {error}"]) from error
    branches: dict[Branch, dict[str, Any]] = {}
    problems = list(_parse_table(Branch(), raw, branches))
    tree = SettingsTree(branches)
    if not problems:
        problems = [
            *_check_hosts(tree),
            *_check_services(tree),
            *_check_workspaces(tree),
            *_check_resolved(tree, localities),
        ]
    if problems:
        raise bad_settings(problems)
    return tree


def bad_settings(problems: list[str]) -> MarjoramtideError:
    """Return an error that lists the first ``MAX_REPORTED_PROBLEMS`` problems."""
    named = problems[:MAX_REPORTED_PROBLEMS]
    more = len(problems) - len(named)
    message = "; ".join([*named, *([f"and {more} more"] if more else [])])
    return MarjoramtideError(ErrorCode.BAD_SETTINGS, message, step=STEP)


def check_value(branch: Branch, key: str, value: Any) -> list[str]:
    """Return the problems of ``key = value`` in ``branch``."""
    spec = SCHEMA.get(key)
    if spec is None:
        allowed = [name for name, spec in SCHEMA.items() if branch.level in spec.levels]
        nearest = did_you_mean(key, [*allowed, *CONTAINERS[branch.level]])
        return [f"{branch}: unknown key {key!r}{nearest}"]
    if branch.level not in spec.levels:
        where = ", ".join(level for level in Level if level in spec.levels)
        return [f"{branch}: {key} can't be set on a {branch.level}; allowed on: {where}"]
    if key == "hosts" and branch.region:
        return [f"{branch}: hosts can be set on /services/{branch.service} only"]
    if not spec.accepts(value):
        return [f"{branch}: {key} = {spec.describe_value(value)}; allowed: {spec.allowed}"]
    return []


def did_you_mean(name: str, known: Collection[str]) -> str:
    """Return a hint with the known name closest to ``name``, or an empty string."""
    close = difflib.get_close_matches(name, known, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def _parse_table(
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
        yield from _parse_children(branch, container, table.get(container, {}), branches)


def _parse_children(
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
                yield from _parse_table(attrs.evolve(branch, route=name), table, branches)
            else:
                yield f"{path}: {name!r} is not a path that begins with /"
        elif container == "workspaces":
            if WORKSPACE_NAME.fullmatch(name):
                yield from _parse_table(attrs.evolve(branch, workspace=name), table, branches)
            else:
                yield f"{path}: {name!r} is not {WORKSPACE_NAME_RULE}"
        elif not NAME.fullmatch(name):
            yield f"{path}: {name!r} is not {NAME_RULE}"
        else:
            yield from _parse_table(
                attrs.evolve(branch, **{BRANCH_FIELDS[container]: name}), table, branches
            )


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
            nearest = did_you_mean(branch.service, known)
            yield f"{branch}: there is no /services/{branch.service}{nearest}"


def _check_resolved(tree: SettingsTree, localities: Collection[Locality] | None) -> Iterator[str]:
    """Check values against each other for every combination of locality, service and route."""
    checked = tree.localities() if localities is None else localities
    targets: list[tuple[str, str | None]] = [("", None)]
    targets += [(name, route) for name in tree.services() for route in tree.routes(name)]
    found = (
        problem
        for locality, (service, route) in itertools.product(checked, targets)
        for problem in tree.resolve(locality, service, route).problems()
    )
    yield from dict.fromkeys(found)
