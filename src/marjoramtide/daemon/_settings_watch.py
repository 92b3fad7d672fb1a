"""Noticing that a node's settings file has changed."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import structlog

from marjoramtide.errors import MarjoramtideError
from marjoramtide.settings import NodeSettings, load_node_settings

log = structlog.get_logger()

# How often the file's text is compared, in seconds, where no signal tells of a change. Reading a
# kilobyte costs some 50 us; operators expect a change to be taken up within seconds.
LOOK_S = 2.0


class SettingsWatch:
    """Reads the file at intervals, and at once when ``look_now`` is called.

    ``changed`` is given settings that are sound; a file that isn't leaves those in force, and a
    line in the log names each problem.
    """

    def __init__(self, path: str, changed: Callable[[NodeSettings], None]) -> None:
        self.path = path
        self.changed = changed
        self.asked = asyncio.Event()
        self.text = self.read()

    def look_now(self) -> None:
        """Look without waiting for the next time, as on a signal."""
        log.info("daemon.reload_asked", step="daemon.reload")
        self.asked.set()

    def read(self) -> str:
        """Return the text of the file, empty where it can't be read just now."""
        try:
            return Path(self.path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            log.warning("daemon.settings_unreadable", step="daemon.reload", reason=str(error))
            return ""

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            try:
                async with asyncio.timeout(LOOK_S):
                    await self.asked.wait()
            except TimeoutError:
                pass
            self.asked.clear()
            text = self.read()
            if text and text != self.text:
                self.text = text
                self.reload()

    def reload(self) -> None:
        """Take the changed file over where it is sound."""
        try:
            self.changed(load_node_settings(self.path))
        except MarjoramtideError as error:
            log.error(
                "daemon.reload_refused", code=error.code, step=error.step, reason=error.message
            )
