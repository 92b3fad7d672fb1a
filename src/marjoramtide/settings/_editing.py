"""Edits of the tree: applying them to its text, computing them, and finding conflicts.

The TOML editing library is imported where it is used: a node that only follows changes of others
never needs it and starts faster without it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Any

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings._branch import Branch
from marjoramtide.settings._edit import Edit, EditAction
from marjoramtide.settings._schema import SCHEMA
from marjoramtide.settings._tree import SettingsTree, bad_settings, check_value, did_you_mean

if TYPE_CHECKING:
    import tomlkit

STEP = "settings.edit"


def apply_edits(text: str, edits: Iterable[Edit]) -> str:
    """Return ``text`` with the edits applied; comments and order are preserved.

    Raises ``not-found`` if the branch or key to change doesn't exist, ``bad-settings`` for an
    invalid key or value, or if the branch to create exists already.
    """
    import tomlkit

    document = tomlkit.parse(text)
    for edit in edits:
        _apply(document, edit)
    return tomlkit.dumps(document)


def edit_tree(tree: SettingsTree, edits: Iterable[Edit]) -> SettingsTree:
    """Return the tree that results from the edits; the edited text must parse to the same."""
    branches = {branch: dict(values) for branch, values in tree.branches.items()}
    for edit in edits:
        branch = edit.branch
        if edit.action is EditAction.REMOVE:
            for removed in SettingsTree(branches).descendants(branch):
                del branches[removed]
        elif edit.action is EditAction.CREATE:
            for ancestor in (*branch.ancestors, branch):
                branches.setdefault(ancestor, {})
        elif edit.action is EditAction.SET:
            branches[branch][edit.key] = SCHEMA[edit.key].normalise(edit.value)
        else:
            del branches[branch][edit.key]
    return SettingsTree(branches)


def compare_trees(old: SettingsTree, new: SettingsTree) -> list[Edit]:
    """Return the edits that turn one tree into another."""
    removed = [branch for branch in old.branches if branch not in new.branches]
    edits = [
        Edit(EditAction.REMOVE, str(branch))
        for branch in removed
        if not any(parent in removed for parent in branch.ancestors)
    ]
    for branch, values in new.branches.items():
        before = old.branches.get(branch)
        if before is None:
            edits.append(Edit(EditAction.CREATE, str(branch)))
        edits += _compare_values(str(branch), before or {}, values)
    return edits


def conflicting_branches(
    base: SettingsTree, current: SettingsTree, edits: Iterable[Edit]
) -> list[str]:
    """Return the branches that ``edits`` touch and that changed between ``base`` and ``current``.

    An edit is based on the branch as its author saw it. If the branch was changed concurrently,
    rebasing the edit would silently combine two changes that nobody reviewed together; if a branch
    that contains it was removed, rebasing would bring that branch back.
    """
    return list(
        dict.fromkeys(edit.path for edit in edits if not _is_branch_unchanged(base, current, edit))
    )


def _is_branch_unchanged(base: SettingsTree, current: SettingsTree, edit: Edit) -> bool:
    branch = edit.branch
    if any(
        parent in base.branches and parent not in current.branches for parent in branch.ancestors
    ):
        return False
    if edit.action is EditAction.REMOVE:
        return base.descendants(branch) == current.descendants(branch)
    return base.branches.get(branch) == current.branches.get(branch)


def _compare_values(path: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[Edit]:
    for key in before.keys() - after.keys():
        yield Edit(EditAction.UNSET, path, key)
    for key, value in after.items():
        if key not in before or before[key] != value:
            yield Edit(EditAction.SET, path, key, value)


def _apply(document: tomlkit.TOMLDocument, edit: Edit) -> None:
    branch = edit.branch
    if edit.action is EditAction.CREATE:
        _create(document, branch)
        return
    table = _find(document, branch)
    if table is None:
        raise MarjoramtideError(
            ErrorCode.NOT_FOUND,
            f"there is no branch {branch}{_nearest_branch(document, branch)}",
            step=STEP,
        )
    if edit.action is EditAction.REMOVE:
        _remove(document, branch)
    elif edit.action is EditAction.SET:
        if problems := check_value(branch, edit.key, edit.value):
            raise bad_settings(problems)
        table[edit.key] = edit.value
    elif edit.key not in table:
        raise MarjoramtideError(
            ErrorCode.NOT_FOUND, f"{branch} doesn't set {edit.key!r} itself", step=STEP
        )
    else:
        table.remove(edit.key)


def _find(document: tomlkit.TOMLDocument, branch: Branch) -> Any:
    table: Any = document
    for key in branch.keys:
        if key not in table:
            return None
        table = table[key]
    return table


def _create(document: tomlkit.TOMLDocument, branch: Branch) -> None:
    import tomlkit

    if _find(document, branch) is not None:
        raise bad_settings([f"{branch}: this branch exists already"])
    table: Any = document
    for depth, key in enumerate(branch.keys, start=1):
        if key not in table:
            # Containers such as [services] hold no keys of their own and need no header.
            table[key] = tomlkit.table(is_super_table=depth < len(branch.keys))
        table = table[key]


def _remove(document: tomlkit.TOMLDocument, branch: Branch) -> None:
    from tomlkit.container import Container
    from tomlkit.items import Table

    *parents, last = branch.keys
    parent: Any = document
    for key in parents:
        parent = parent[key]
    if isinstance(parent, Table | Container):
        parent.remove(last)
    else:
        del parent[last]


def _nearest_branch(document: tomlkit.TOMLDocument, branch: Branch) -> str:
    *parents, last = branch.keys or ("",)
    parent: Any = document
    for key in parents:
        parent = parent.get(key, {})
    return did_you_mean(last, list(parent))
