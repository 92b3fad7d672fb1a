"""A single edit of the settings tree."""

from enum import StrEnum
from typing import Any

import attrs
import cattrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings._branch import Branch, parse_branch
from marjoramtide.settings._schema import SCHEMA


class EditAction(StrEnum):
    """The kind of an edit: two act on a key, two on a whole branch."""

    SET = "set"
    UNSET = "unset"
    CREATE = "create"
    REMOVE = "remove"


@attrs.frozen(slots=True)
class Edit:
    """Set or unset ``key`` in a branch, or create or remove the branch itself.

    ``path`` is a branch such as ``/services/mapdesk``; removing a branch removes its descendants.
    """

    action: EditAction
    path: str
    key: str = ""
    value: Any = None

    @property
    def branch(self) -> Branch:
        return parse_branch(self.path)

    def __str__(self) -> str:
        if self.action is EditAction.SET:
            spec = SCHEMA.get(self.key)
            shown = repr(self.value) if spec is None else spec.describe_value(self.value)
            return f"set {self.path} {self.key} = {shown}"
        return " ".join(part for part in (self.action, self.path, self.key) if part)


def parse_edits(raw: Any) -> list[Edit]:
    """Parse edits from plain maps, as operators and other nodes send them."""
    try:
        edits = cattrs.structure(raw, list[Edit])
    except (ValueError, TypeError, cattrs.BaseValidationError) as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise MarjoramtideError(
            ErrorCode.BAD_REQUEST, f"not a list of edits: {reasons}", step="settings.edit"
        ) from error
    for edit in edits:
        parse_branch(edit.path)
    return edits
