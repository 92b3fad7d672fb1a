"""The names of the platform's headers, for what they hold."""

REQUEST_ID = "X-Attempt-Id"
"""One attempt of a caller; each repetition by the caller has a new one."""

DEADLINE = "X-Deadline-Ms"
"""Milliseconds that whoever sent the request will wait from now on."""

SEAL = "X-Response-Seal"
"""A backend server's signature of its answer."""

EXPECTED_INSTANCE = "X-Expected-Instance"
"""The start of a backend server that is to run the request; any other refuses it."""

INSTANCE = "X-Instance-Id"
"""The start of a backend server that answers."""

LOAD = "X-Server-Load"
"""Running, waiting and slots of a backend server, and how long work takes now, in percent."""

NOT_RUN = "X-Not-Executed"
"""Stands on an answer to a request that the backend server did not run."""

CALLING_SERVICE = "X-Calling-Service"
"""The service on whose instance the request began."""

WORKSPACE = "X-Tenant-Name"
"""The workspace of the caller, as the node knows it by the key."""

RETRY_AFTER = "Retry-After"
"""Seconds, with a fraction where need be."""

COLD = "X-Cold-Remaining-Ms"
"""For how many milliseconds more a backend server is cold, in its health's answers."""

SERVER_RATE = "Server-Limit"
"""How many requests a second a backend server takes from all callers together."""

SERVER_LEAVING = "Server-Leaving"
"""Is 1 in each answer of a backend server that leaves."""

STORE_EPOCH = "Store-Era"
"""How often the store has come back from a copy, in all its answers."""
