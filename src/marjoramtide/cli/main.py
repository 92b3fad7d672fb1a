"""The operators' command line: ``marjoramtide COMMAND ... [--node IP:PORT] [--json]``."""

import os
import sys

import fire

from marjoramtide.cli._commands import Commands
from marjoramtide.cli._exit_code import ExitCode, exit_code_of
from marjoramtide.cli._node_client import NODE_VARIABLE
from marjoramtide.cli._output import Output
from marjoramtide.cli._session import Session
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings import parse_address

SWITCHES = ("--insist", "--create", "--release")
USAGE_STEPS = ("cli.node", "cli.arguments")


def take_session(arguments: list[str]) -> tuple[Session, list[str]]:
    """Take ``--node`` and ``--json`` out of the arguments, wherever they stand."""
    address = os.environ.get(NODE_VARIABLE, "")
    as_json = False
    rest: list[str] = []
    words = iter(arguments)
    for word in words:
        if word == "--json":
            as_json = True
        elif word == "--node":
            address = next(words, "")
        elif word.startswith("--node="):
            address = word.partition("=")[2]
        else:
            # Fire would take the word after a switch for its value.
            rest.append(f"{word}=True" if word in SWITCHES else word)
    return Session(address, Output(as_json)), rest


def check_address(address: str) -> None:
    """Raise ``bad-request`` for an address that isn't IP:PORT."""
    if not address:
        return
    try:
        parse_address(address)
    except ValueError as error:
        raise MarjoramtideError(
            ErrorCode.BAD_REQUEST,
            f"--node: {address!r} is not IP:PORT ({error})",
            step="cli.node",
        ) from error


def main() -> int:
    """Run one command and return its exit status."""
    session, arguments = take_session(sys.argv[1:])
    try:
        check_address(session.address)
        fire.Fire(Commands(session), command=arguments, name="marjoramtide")
    except MarjoramtideError as error:
        session.output.error(error)
        return ExitCode.USAGE if error.step in USAGE_STEPS else exit_code_of(error.code)
    except KeyboardInterrupt:
        return ExitCode.UNKNOWN
    return ExitCode.DONE


if __name__ == "__main__":
    sys.exit(main())
