"""What the node's process does: ``marjoramtided --settings FILE [--check]``."""

import argparse
import asyncio
import gc
import signal
import sys

import structlog

from marjoramtide.daemon._node import Node
from marjoramtide.daemon._settings_watch import SettingsWatch
from marjoramtide.daemon._supervision import keep_running
from marjoramtide.errors import MarjoramtideError
from marjoramtide.interface import Interface, default_interface
from marjoramtide.settings import NodeSettings, load_node_settings
from marjoramtide.telemetry import configure_logs

log = structlog.get_logger()

BAD_SETTINGS_STATUS = 2


def make_interface(settings: NodeSettings) -> Interface:
    """Return the interface that the settings name; only that one is imported."""
    if settings.interface == "own":
        return default_interface()
    from marjoramtide.platform import platform_interface

    return platform_interface(settings)


async def run(settings: NodeSettings, path: str) -> None:
    """Run a node until SIGTERM, SIGINT or its own replacement, then stop it as planned."""
    node = Node(settings, make_interface(settings))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop_asked.set)
    watch = SettingsWatch(path, lambda changed: node.reload(changed, make_interface(changed)))
    loop.add_signal_handler(signal.SIGHUP, watch.look_now)
    node.spawn(keep_running("settings file", watch.run, node.clock, node.metrics))
    try:
        await node.start()
    except BaseException:
        await node.close()
        raise
    # What lives since the start is never garbage; scanning it again and again costs tail latency.
    # Nor is it worth a collection first: that took 55 ms of processor time, a sixth of all imports,
    # amid the first requests of a node, and left as much memory in use (33.8 MB without and with).
    gc.freeze()
    gc.enable()
    await node.stop_asked.wait()
    await node.stop()


def run_process() -> int:
    """Read the settings and run; exit status 2 for settings that can't be used."""
    parser = argparse.ArgumentParser(prog="marjoramtided", description=__doc__)
    parser.add_argument("--settings", required=True, metavar="FILE", help="this node's TOML file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    options = parser.parse_args()
    try:
        settings = load_node_settings(options.settings)
        if options.check:
            make_interface(settings)
            print(f"{options.settings}: ok")
            return 0
        configure_logs(
            settings.log_level,
            node=settings.name or settings.peers,
            data_centre=settings.data_centre,
        )
        asyncio.run(run(settings, options.settings))
    except MarjoramtideError as error:
        print(str(error), file=sys.stderr)
        return BAD_SETTINGS_STATUS
    return 0
