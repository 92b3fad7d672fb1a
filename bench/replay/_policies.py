"""The policies to compare."""

DIRECT = "direct"  # no load balancer: callers pick a random backend server
DEFAULT_POLICIES = ("predicted", "round-robin", "two-choices", "least-outstanding")
