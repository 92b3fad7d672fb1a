"""The next step that is suggested to an operator after an error."""

from marjoramtide.errors import ErrorCode

_ADVICE = {
    ErrorCode.BAD_SETTINGS: "correct the path or value named; docs/operators/settings-reference.md "
    "has every key",
    ErrorCode.BAD_REQUEST: "see `marjoramtide COMMAND --help` for the arguments",
    ErrorCode.NOT_FOUND: "see `marjoramtide settings show` for the existing branches; `--create` "
    "makes a new one",
    ErrorCode.UNKNOWN_SERVICE: "see `marjoramtide service list`",
    ErrorCode.BRANCH_CONFLICT: "see what others changed (`marjoramtide settings history`, "
    "`settings show`) and make the change again on top of that",
    ErrorCode.VERSION_CONFLICT: "try again in some seconds; if the error persists, the store has "
    "lost revisions: see docs/operators/incident-guide.md",
    ErrorCode.MEMBER_UNREACHABLE: "see `marjoramtide nodes`; repair or stop the members named, or "
    "continue without them by --insist (they reject requests until they catch up)",
    ErrorCode.NOT_IN_FORCE: "the change is accepted and stays accepted; see `marjoramtide nodes` "
    "for the members named, and docs/operators/incident-guide.md",
    ErrorCode.STORE_UNAVAILABLE: "nothing was changed; nodes keep the settings in force; try again "
    "when the store is available",
    ErrorCode.STORE_THROTTLED: "nothing was changed; try again in some seconds",
    ErrorCode.STORE_AMBIGUOUS: "repeat the command with the same --change-id; the change is never "
    "made twice",
    ErrorCode.CONNECT_FAILED: "check --node (the node's operators address) or use another node",
    ErrorCode.PEER_LOST: "try again, or use another node",
    ErrorCode.INTERNAL: "this is a bug: keep the node's log lines of this time and report it",
}


def advice_for(code: ErrorCode) -> str:
    """Return the suggested next step, in one line."""
    return _ADVICE.get(code, "see docs/operators/incident-guide.md")
