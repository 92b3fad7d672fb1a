"""The entry point of the command line: ``marjoramtide COMMAND ... [--node IP:PORT] [--json]``."""

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

BOOLEAN_FLAGS = ("--insist", "--create", "--release")
USAGE_STEPS = ("cli.node", "cli.arguments")


def parse_global_options(arguments: list[str]) -> tuple[Session, list[str]]:
    """Extract ``--node`` and ``--json`` from any position of the arguments."""
    address = os.environ.get(NODE_VARIABLE, "")
    as_json = False
    command: list[str] = []
    words = iter(arguments)
    for word in words:
        if word == "--json":
            as_json = True
        elif word == "--node":
            address = next(words, "")
        elif word.startswith("--node="):
            address = word.partition("=")[2]
        else:
            # Fire would parse the word after a flag as its value.
            command.append(f"{word}=True" if word in BOOLEAN_FLAGS else word)
    return Session(address, Output(as_json)), command


def check_address(address: str) -> None:
    """Raise ``bad-request`` if the address isn't IP:PORT."""
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
    session, arguments = parse_global_options(sys.argv[1:])
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
