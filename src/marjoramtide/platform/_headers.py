"""The platform's HTTP headers."""

REQUEST_ID = "X-Attempt-Id"
"""The id of one attempt of a caller; each retry by the caller has a new id."""

DEADLINE = "X-Deadline-Ms"
"""Milliseconds for which the sender of the request will still wait."""

SEAL = "X-Response-Seal"
"""A backend server's signature of its response."""

EXPECTED_INSTANCE = "X-Expected-Instance"
"""The incarnation of the backend server that must run the request; any other refuses it."""

INSTANCE = "X-Instance-Id"
"""The incarnation of the backend server that sent the response."""

LOAD = "X-Server-Load"
"""Running and queued requests and slots of a backend server, and its slowdown in percent."""

NOT_RUN = "X-Not-Executed"
"""Set on a response to a request that the backend server did not run."""

CALLING_SERVICE = "X-Calling-Service"
"""The service on whose instance the request originated."""

WORKSPACE = "X-Tenant-Name"
"""The workspace of the caller, which the node determines by the key."""

RETRY_AFTER = "Retry-After"
"""Seconds, possibly with a fraction."""

COLD = "X-Cold-Remaining-Ms"
"""For how many more milliseconds a backend server is cold, in health check responses."""

SERVER_RATE = "Server-Limit"
"""How many requests per second a backend server accepts from all callers together."""

SERVER_LEAVING = "Server-Leaving"
"""1 in each response of a backend server that is leaving."""

STORE_EPOCH = "Store-Era"
"""How often the store was restored from a copy, in all its responses."""
