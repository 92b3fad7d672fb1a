"""What an operator does next after an error."""

from marjoramtide.errors import ErrorCode

_NEXT = {
    ErrorCode.BAD_SETTINGS: "correct the path or value named; docs/operators/settings-reference.md "
    "has every key",
    ErrorCode.BAD_REQUEST: "see `marjoramtide COMMAND --help` for the arguments",
    ErrorCode.NOT_FOUND: "see `marjoramtide settings show` for what there is; `--create` makes a "
    "new branch",
    ErrorCode.UNKNOWN_SERVICE: "see `marjoramtide service list`",
    ErrorCode.BRANCH_CONFLICT: "look at what the others did (`marjoramtide settings history`, "
    "`settings show`) and make the change again on top of it",
    ErrorCode.VERSION_CONFLICT: "wait some seconds and try again; if it stays so, the store lost "
    "revisions: see docs/operators/incident-guide.md",
    ErrorCode.MEMBER_UNREACHABLE: "see `marjoramtide nodes`; mend or stop the members named, or "
    "go on without them by --insist (they stop taking requests until they catch up)",
    ErrorCode.NOT_IN_FORCE: "the change is accepted and stays; see `marjoramtide nodes` for the "
    "members named, and docs/operators/incident-guide.md",
    ErrorCode.STORE_UNAVAILABLE: "nothing was changed; nodes go on with what is in force; try "
    "again when the store is back",
    ErrorCode.STORE_THROTTLED: "nothing was changed; try again in some seconds",
    ErrorCode.STORE_AMBIGUOUS: "ask again with the same --change-id, which never makes the change "
    "twice",
    ErrorCode.CONNECT_FAILED: "check --node (the node's operators address) or ask another node",
    ErrorCode.PEER_LOST: "ask again, or another node",
    ErrorCode.INTERNAL: "a fault of the program: keep the node's log lines of this moment and "
    "report it",
}


def advice_on(code: ErrorCode) -> str:
    """Return what to do next, in one line."""
    return _NEXT.get(code, "see docs/operators/incident-guide.md")
