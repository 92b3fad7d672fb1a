"""The next revision of the tree, computed from a request."""

import uuid

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings._edit import Edit
from marjoramtide.settings._editing import (
    apply_edits,
    compare_trees,
    conflicting_branches,
    edit_tree,
)
from marjoramtide.settings._envelope import MAX_RECENT_CHANGES, Envelope, RecentChange
from marjoramtide.settings._tree import parse_tree
from marjoramtide.settings.sync._change_request import ChangeRequest


@attrs.frozen(slots=True)
class Draft:
    """A validated new text and the edits that lead to it.

    ``rebased`` is true if it is based on a later revision than the operator saw.
    """

    text: str
    edits: tuple[Edit, ...]
    rebased: bool


def make_draft(
    request: ChangeRequest, base: Envelope | None, current: Envelope | None, target: str | None
) -> Draft:
    """Compute the text that results from applying ``request`` to ``current``.

    ``base`` is the revision that the operator saw, ``target`` the complete text requested, if any.
    Raises ``branch-conflict`` where a branch that the request touches was changed since ``base``,
    ``bad-settings`` or ``not-found`` where the result or an edit is invalid. It is pure
    computation, so that it can run in a thread.
    """
    base_tree = parse_tree(base.text if base else "", [])
    edits = request.edits
    if target is not None:
        edits = tuple(compare_trees(base_tree, parse_tree(target)))
    rebased = current != base
    text = current.text if current else ""
    current_tree = parse_tree(text, [])
    if rebased and (touched := conflicting_branches(base_tree, current_tree, edits)):
        raise _conflict(touched, base, current)
    if target is not None and not rebased:
        return Draft(target, edits, rebased)
    edited = apply_edits(text, edits)
    if parse_tree(edited) != edit_tree(current_tree, edits):
        raise MarjoramtideError(
            ErrorCode.INTERNAL,
            "the edited text doesn't match the edits; replace the whole text instead",
            step="settings.edit",
        )
    return Draft(edited, edits, rebased)


def make_envelope(
    request: ChangeRequest, draft: Draft, current: Envelope | None, time: float
) -> Envelope:
    """Return the revision that follows ``current``."""
    revision = current.revision + 1 if current else 1
    branches = list(dict.fromkeys(edit.path for edit in draft.edits))
    entry = RecentChange(revision, request.change, request.author, time, branches)
    earlier = current.recent if current else []
    return Envelope(
        revision=revision,
        lineage=current.lineage if current else uuid.uuid4().hex,
        change=request.change,
        author=request.author,
        time=time,
        parent=current.digest if current else "",
        recent=[*earlier, entry][-MAX_RECENT_CHANGES:],
        text=draft.text,
    )


def _conflict(
    touched: list[str], base: Envelope | None, current: Envelope | None
) -> MarjoramtideError:
    since = base.revision if base else 0
    other_changes = [
        f"revision {entry.revision} by {entry.author}"
        for entry in (current.recent if current else [])
        if entry.revision > since and set(entry.branches) & set(touched)
    ]
    by = f" ({', '.join(other_changes)})" if other_changes else ""
    return MarjoramtideError(
        ErrorCode.BRANCH_CONFLICT,
        f"changed by others since revision {since}: {', '.join(touched)}{by}; nothing was written",
        step="settings.rebase",
    )
