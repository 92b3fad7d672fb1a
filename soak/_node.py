"""A node whose connections to other nodes lead through proxies: ``python -m soak._node JSON ...``.

The JSON object names the proxy for the address of each node; the other arguments are the daemon's.
"""

import json
import sys
from typing import Any

from marjoramtide.daemon.main import main
from marjoramtide.peers import _client


def connect_through_proxies(proxies: dict[str, str]) -> None:
    """Open connections to other nodes at their proxies' addresses."""
    connect = _client.connect

    def connect_to_proxy(uri: str, **options: Any) -> Any:
        address = uri.removeprefix("ws://").removesuffix("/")
        return connect(f"ws://{proxies.get(address, address)}/", **options)

    _client.connect = connect_to_proxy  # type: ignore[assignment,misc]


if __name__ == "__main__":
    connect_through_proxies(json.loads(sys.argv.pop(1)))
    sys.exit(main())
