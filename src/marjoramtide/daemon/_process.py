"""The node process: ``marjoramtided --settings FILE [--check]``."""

import argparse
import asyncio
import gc
import signal
import sys

import structlog

from marjoramtide.daemon._node import Node
from marjoramtide.daemon._settings_file_watcher import SettingsFileWatcher
from marjoramtide.daemon._supervision import supervise
from marjoramtide.errors import MarjoramtideError
from marjoramtide.interface import Interface, default_interface
from marjoramtide.settings import NodeSettings, load_node_settings
from marjoramtide.telemetry import configure_logs

log = structlog.get_logger()

BAD_SETTINGS_EXIT_STATUS = 2


def make_interface(settings: NodeSettings) -> Interface:
    """Return the interface named in the settings; the other one is not imported."""
    if settings.interface == "own":
        return default_interface()
    from marjoramtide.platform import platform_interface

    return platform_interface(settings)


async def run(settings: NodeSettings, path: str) -> None:
    """Run a node until SIGTERM, SIGINT or its replacement, then shut it down gracefully."""
    node = Node(settings, make_interface(settings))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.stop_requested.set)
        # Beside the loop's own handler, which a busy loop calls late: the grace counts from here.
        signal.signal(signal_number, lambda *_: node.record_stop_signal())
    watcher = SettingsFileWatcher(
        path, lambda changed: node.reload(changed, make_interface(changed))
    )
    loop.add_signal_handler(signal.SIGHUP, watcher.check_now)
    node.spawn(supervise("settings file", watcher.run, node.clock, node.metrics))
    try:
        await node.start()
    except BaseException:
        await node.close()
        raise
    # Objects that exist after startup are permanent, and scanning them in every collection costs
    # tail latency. There is no collection before the freeze: it took 55 ms of CPU time, a sixth of
    # that of all imports, during the first requests, and freed nothing (33.8 MB in use without and
    # with it).
    gc.freeze()
    gc.enable()
    await node.stop_requested.wait()
    await node.stop()


def run_process() -> int:
    """Read the settings and run the node; return exit status 2 for invalid settings."""
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
        return BAD_SETTINGS_EXIT_STATUS
    return 0
