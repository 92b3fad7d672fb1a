"""``marjoramtide settings``: show and change the settings tree."""

import os
import re
import shlex
import subprocess
import sys
import tempfile
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import tomlkit

from marjoramtide.cli._output import format_table
from marjoramtide.cli._session import Session
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings import compare_trees, parse_branch, parse_tree

WAIT_S = 30.0
REVISION_LINE = "# marjoramtide settings, revision {}\n"
REVISION_LINE_PATTERN = re.compile(r"# marjoramtide settings, revision (\d+)\n")


class SettingsCommands:
    """Manage the settings tree of the fleet."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def show(self, revision: int | None = None) -> None:
        """Print the whole tree, or an earlier revision of it.

        The first line states the revision, so that the text can be edited and passed to `apply`.
        """
        envelope = self._envelope(revision)
        self._session.output.result(
            envelope, REVISION_LINE.format(envelope["revision"]) + envelope["text"]
        )

    def get(self, branch: str, key: str = "") -> None:
        """Print the values that BRANCH itself sets, or its value of KEY."""
        tree = parse_tree(self._envelope()["text"], [])
        own = tree.branches.get(parse_branch(str(branch)))
        if own is None or (key and key not in own):
            what = f"{branch} doesn't set {key}" if key and own is not None else f"no {branch}"
            raise MarjoramtideError(ErrorCode.NOT_FOUND, what, step="settings.get")
        value = own[key] if key else own
        self._session.output.result(value, str(value) if key else tomlkit.dumps(own))

    def resolved(self, service: str, path: str = "/") -> None:
        """Print the values in force on the queried node for a path, with the origin of each."""
        found = self._session.node.get("/settings/resolved", service=service, path=path)
        rows = [
            (key, value, found["origins"][key]) for key, value in sorted(found["values"].items())
        ]
        text = f"service {found['service']}, route {found['route']}\n"
        text += format_table(rows, ("key", "value", "from"))
        self._session.output.result(found, text)

    def set(
        self,
        branch: str,
        key: str,
        value: Any,
        create: bool = False,
        insist: bool = False,
        wait_s: float = WAIT_S,
        change_id: str = "",
    ) -> None:
        """Set KEY to VALUE in BRANCH, for example `set /services/mapdesk timeout_ms 300`.

        --create creates the branch first; --insist continues even if members can't be reached.
        """
        edits = [{"action": "create", "path": branch}] if create else []
        edits.append({"action": "set", "path": branch, "key": key, "value": to_tree_value(value)})
        self._edit(edits, insist, wait_s, change_id)

    def unset(
        self,
        branch: str,
        key: str = "",
        insist: bool = False,
        wait_s: float = WAIT_S,
        change_id: str = "",
    ) -> None:
        """Remove KEY from BRANCH, or the whole branch if KEY is omitted."""
        edit = {"action": "unset" if key else "remove", "path": branch, "key": key}
        self._edit([edit], insist, wait_s, change_id)

    def edit(self, insist: bool = False, wait_s: float = WAIT_S) -> None:
        """Open the tree in $EDITOR and apply the saved text."""
        envelope = self._envelope()
        descriptor, name = tempfile.mkstemp(prefix="marjoramtide-settings-", suffix=".toml")
        os.close(descriptor)
        file = Path(name)
        file.write_text(REVISION_LINE.format(envelope["revision"]) + envelope["text"])
        subprocess.run([*shlex.split(os.environ.get("EDITOR", "vi")), name], check=True)
        try:
            self._apply(file.read_text(), envelope["revision"], insist, wait_s, "")
        except (MarjoramtideError, SystemExit):
            self._session.output.progress(f"your text is kept in {name}, for `settings apply`")
            raise
        file.unlink()

    def apply(
        self,
        file: str,
        base: int | None = None,
        insist: bool = False,
        wait_s: float = WAIT_S,
        change_id: str = "",
    ) -> None:
        """Replace the tree by FILE (- for standard input), and wait until it is in force.

        The base revision of the file is read from its first line, as printed by `show`, or given
        by --base. Changes by others since that revision are merged, or rejected as a conflict.
        """
        text = read_file(file)
        named = REVISION_LINE_PATTERN.match(text)
        if base is None and named:
            base = int(named.group(1))
        if base is None and self._envelope()["revision"] > 0:
            raise MarjoramtideError(
                ErrorCode.BAD_REQUEST,
                f"{file} doesn't state its base revision; give --base",
                step="cli.apply",
            )
        self._apply(text, base or 0, insist, wait_s, change_id)

    def diff(self, old: Any, new: Any = None) -> None:
        """Print the edits from the tree in force to OLD, or from OLD to NEW.

        OLD and NEW are files or revision numbers.
        """
        first = self._envelope()["text"] if new is None else self._text(old)
        second = self._text(old if new is None else new)
        edits = compare_trees(parse_tree(first, []), parse_tree(second, []))
        edit_fields = [
            {"action": str(edit.action), "path": edit.path, "key": edit.key, "value": edit.value}
            for edit in edits
        ]
        self._session.output.result(edit_fields, "\n".join(map(str, edits)) or "no difference")

    def history(self, count: int = 20) -> None:
        """Print the last COUNT changes, newest first."""
        recent = self._envelope()["recent"][::-1][:count]
        rows = [
            (
                entry["revision"],
                format_time(entry["time"]),
                entry["author"],
                entry["change"],
                " ".join(entry["branches"]),
            )
            for entry in recent
        ]
        headers = ("revision", "time", "author", "change", "branches")
        self._session.output.table(recent, rows, headers)

    def rollback(
        self, revision: int, insist: bool = False, wait_s: float = WAIT_S, change_id: str = ""
    ) -> None:
        """Restore the text of an earlier REVISION, as a new revision."""
        body = {
            "base": self._envelope()["revision"],
            "rollback_to": revision,
            "insist": insist,
            "wait_s": wait_s,
        }
        self._session.change(body, change_id)

    def _edit(
        self, edits: list[dict[str, Any]], insist: bool, wait_s: float, change_id: str
    ) -> None:
        base = self._envelope()["revision"]
        body = {"base": base, "edits": edits, "insist": insist, "wait_s": wait_s}
        self._session.change(body, change_id)

    def _apply(self, text: str, base: int, insist: bool, wait_s: float, change_id: str) -> None:
        text = REVISION_LINE_PATTERN.sub("", text, count=1)
        parse_tree(text)
        body = {"base": base, "text": text, "insist": insist, "wait_s": wait_s}
        self._session.change(body, change_id)

    def _envelope(self, revision: int | None = None) -> dict[str, Any]:
        if revision is None:
            return self._session.node.get("/settings")
        return self._session.node.get("/settings/revision", revision=revision)

    def _text(self, source: Any) -> str:
        if isinstance(source, int):
            return str(self._envelope(source)["text"])
        return REVISION_LINE_PATTERN.sub("", read_file(str(source)), count=1)


def to_tree_value(value: Any) -> Any:
    """Convert a command-line value for the tree: tuples become lists."""
    return list(value) if isinstance(value, tuple) else value


def read_file(file: str) -> str:
    """Read a text file, or standard input for ``-``; raises ``bad-request`` if it is unreadable."""
    try:
        return sys.stdin.read() if file == "-" else Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise MarjoramtideError(
            ErrorCode.BAD_REQUEST, f"{file}: {error}", step="cli.read"
        ) from error


def format_time(seconds: float) -> str:
    """Format seconds since the Unix epoch as a UTC time."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
