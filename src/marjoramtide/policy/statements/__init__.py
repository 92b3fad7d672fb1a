"""What has this start of the backend server said of itself, and does it still hold?

Made for servers that ask in their answers to be given less, or nothing, while answers overtake each
other and nodes beside them start anew.
"""

from marjoramtide.policy.statements._statement_tracker import StatementTracker

__all__ = ["StatementTracker"]
