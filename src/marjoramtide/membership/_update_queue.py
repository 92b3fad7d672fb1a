"""Updates queued for dissemination."""

from collections import OrderedDict
from collections.abc import Iterator


class UpdateQueue:
    """Member keys ordered by how often their update has been sent, the least sent first.

    ``levels[n]`` holds the keys sent ``n`` times. The content of an update is read from the view
    when it is sent, so each key is queued at most once and an outdated update is never sent. Memory
    is bounded by the number of members.
    """

    def __init__(self) -> None:
        self.levels: list[OrderedDict[int, int]] = [OrderedDict()]
        self.level_of: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.level_of)

    def put(self, key: int, accuser: int = 0) -> None:
        """Queue a key as never sent; ``accuser`` is sent along with a suspicion."""
        self.discard(key)
        self.levels[0][key] = accuser
        self.level_of[key] = 0

    def discard(self, key: int) -> None:
        """Remove a key if it is queued."""
        level = self.level_of.pop(key, None)
        if level is not None:
            del self.levels[level][key]

    def peek(self, limit: int) -> Iterator[tuple[int, int]]:
        """Yield up to ``limit`` pairs of key and accuser, the least sent first."""
        pairs = (pair for level in self.levels for pair in level.items())
        return (pair for pair, _ in zip(pairs, range(limit), strict=False))

    def mark_sent(self, keys: list[int], retransmit_limit: int) -> None:
        """Count one transmission of each key; drop keys sent ``retransmit_limit`` times."""
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
