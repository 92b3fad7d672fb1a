"""Which requests the backend server beside a node has completed lately."""

from collections import OrderedDict

# Bits of a generation, and the bits that each request sets in it: 16 of its fingerprint for each.
BITS = 1 << 16
SHIFTS = (0, 16, 32, 48)
# Requests after which the older generation is forgotten. Full, 0.24% of all other requests pass for
# completed, which spares one end of a server to one guilty request in four hundred; with 60
# requests a second at one server the memory reaches back one to two minutes.
GENERATION = 4096
# Requests that are kept as excused; an end of the server adds some tens.
MAX_SPENT = 1024


class CompletedRequests:
    """Excuses requests that the server has completed: at one of its ends for each completion.

    Failure without it: a tenth of the servers is lost at once, and a page that everybody asks for
    was running on all of them. It passes for a request that ends servers, and nobody gets it. What
    a server has completed it has most likely not ended by. A page that has become deadly is excused
    at the next end of each server, and at no further one.

    Fingerprints are remembered in 16 KiB, whatever their number: by two Bloom filters in turn.
    """

    def __init__(self) -> None:
        self.newer = bytearray(BITS // 8)
        self.older = bytearray(BITS // 8)
        self.count = 0
        # What was excused and has not been completed since, and for which end.
        self.spent: OrderedDict[int, int] = OrderedDict()

    def add(self, fingerprint: int) -> None:
        """Remember a request that was completed."""
        self.spent.pop(fingerprint, None)
        for shift in SHIFTS:
            bit = fingerprint >> shift & BITS - 1
            self.newer[bit >> 3] |= 1 << (bit & 7)
        self.count += 1
        if self.count >= GENERATION:
            self.older, self.newer = self.newer, bytearray(BITS // 8)
            self.count = 0

    def excuse(self, fingerprint: int, end: int) -> bool:
        """Tell whether a request that was running at an end of the server is excused for it.

        It is for all of the same ``end``: what the server ran is told as each run of it is lost.
        """
        if fingerprint in self.spent:
            return self.spent[fingerprint] == end
        if fingerprint not in self:
            return False
        self.spent[fingerprint] = end
        if len(self.spent) > MAX_SPENT:
            self.spent.popitem(last=False)
        return True

    def __contains__(self, fingerprint: int) -> bool:
        return any(
            all(
                generation[(fingerprint >> shift & BITS - 1) >> 3] >> (fingerprint >> shift & 7) & 1
                for shift in SHIFTS
            )
            for generation in (self.newer, self.older)
        )
