"""A load balancer for backend servers whose load shifts in milliseconds."""

from time import monotonic

__version__ = "0.1.0.dev0"

# When this process began, in seconds of the monotonic clock: before all other imports.
process_began_at = monotonic()
