"""A load balancer for backend servers whose load shifts in milliseconds."""

from time import monotonic

__version__ = "0.1.0.dev0"

# Start of the process on the monotonic clock, in seconds; read before all other imports.
process_started_at = monotonic()
