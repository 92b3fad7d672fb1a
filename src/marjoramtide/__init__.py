"""A load balancer for backend servers whose load shifts in milliseconds."""

__version__ = "0.1.0.dev0"
