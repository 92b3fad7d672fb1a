"""The policies that are compared."""

DIRECT = "direct"  # callers go straight to a random backend server: what no balancer would give
DEFAULT_POLICIES = ("predicted", "round-robin", "two-choices", "least-outstanding")
