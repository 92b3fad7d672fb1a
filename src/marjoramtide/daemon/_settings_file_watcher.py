"""Watching a node's settings file for changes."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import structlog

from marjoramtide.errors import MarjoramtideError
from marjoramtide.settings import NodeSettings, load_node_settings

log = structlog.get_logger()

# Interval, in seconds, at which the file is checked for changes without a signal. Reading a
# kilobyte costs some 50 us, and operators expect a change to take effect within seconds.
POLL_INTERVAL_S = 2.0


class SettingsFileWatcher:
    """Polls the settings file, and reads it at once when ``check_now`` is called.

    ``on_change`` is called with valid settings. An invalid file leaves the present settings in
    force, and its errors are logged.
    """

    def __init__(self, path: str, on_change: Callable[[NodeSettings], None]) -> None:
        self.path = path
        self.on_change = on_change
        self.check_requested = asyncio.Event()
        self.text = self.read()

    def check_now(self) -> None:
        """Check the file without waiting for the next poll, as on SIGHUP."""
        log.info("daemon.reload_requested", step="daemon.reload")
        self.check_requested.set()

    def read(self) -> str:
        """Return the text of the file, or an empty string if it can't be read."""
        try:
            return Path(self.path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            log.warning("daemon.settings_unreadable", step="daemon.reload", reason=str(error))
            return ""

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self.check_requested.wait()
            except TimeoutError:
                pass
            self.check_requested.clear()
            text = self.read()
            if text and text != self.text:
                self.text = text
                self.reload()

    def reload(self) -> None:
        """Load the changed file and pass on its settings if they are valid."""
        try:
            self.on_change(load_node_settings(self.path))
        except MarjoramtideError as error:
            log.error(
                "daemon.reload_rejected", code=error.code, step=error.step, reason=error.message
            )
