"""An idle process with the imports of a node, as the memory baseline without a control plane.

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
