"""A process that has imported what a node imports, and does nothing: what memory is not control's.

Run as ``python -m bench.fleet.bare MODULE...``.
"""

import asyncio
import gc
import importlib
import sys


async def idle() -> None:
    gc.collect()
    gc.freeze()
    print("idle", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    for name in sys.argv[1:]:
        importlib.import_module(name)
    asyncio.run(idle())
