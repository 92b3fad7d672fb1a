"""News waiting to be passed on."""

from collections import OrderedDict
from collections.abc import Iterator


class UpdateQueue:
    """Keys with the number of copies sent so far, the least told first.

    What is passed on is read from the view at the moment of sending, so a key stands here at most
    once and an overtaken piece of news is never sent. Memory is bounded by the number of members.
    """

    def __init__(self) -> None:
        self.levels: list[OrderedDict[int, int]] = [OrderedDict()]
        self.level_of: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.level_of)

    def put(self, key: int, accuser: int = 0) -> None:
        """Queue a key anew; ``accuser`` travels with a suspicion."""
        self.discard(key)
        self.levels[0][key] = accuser
        self.level_of[key] = 0

    def discard(self, key: int) -> None:
        """Forget a key."""
        level = self.level_of.pop(key, None)
        if level is not None:
            del self.levels[level][key]

    def peek(self, limit: int) -> Iterator[tuple[int, int]]:
        """Yield up to ``limit`` pairs of key and accuser, the least told first."""
        pairs = (pair for level in self.levels for pair in level.items())
        return (pair for pair, _ in zip(pairs, range(limit), strict=False))

    def sent(self, keys: list[int], retransmit_limit: int) -> None:
        """Count one more copy of each key; drop those told ``copies`` times."""
        for key in keys:
            level = self.level_of[key]
            accuser = self.levels[level].pop(key)
            if level + 1 >= retransmit_limit:
                del self.level_of[key]
                continue
            if level + 1 == len(self.levels):
                self.levels.append(OrderedDict())
            self.levels[level + 1][key] = accuser
            self.level_of[key] = level + 1
