"""Which rate limit has this backend server process requested, and is it leaving?

For servers that ask in their responses for fewer requests, or for none, while responses arrive out
of order and the nodes beside them restart.
"""

from marjoramtide.policy.statements._statement_tracker import StatementTracker

__all__ = ["StatementTracker"]
