"""The rate limit that a backend server process has requested, and whether it is leaving.

For servers that ask in their responses for fewer requests, or for none, while responses arrive out
of order and the nodes beside them restart.
"""

from marjoramtide.policy.statements._statement_tracker import StatementTracker

__all__ = ["StatementTracker"]
