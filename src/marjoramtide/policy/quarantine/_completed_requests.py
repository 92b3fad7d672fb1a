"""Which requests the backend server beside a node has recently completed."""

from collections import OrderedDict

# The size of a Bloom filter in bits, and the bits that each request sets in it: 16 bits of its
# fingerprint select each of them.
BITS = 1 << 16
SHIFTS = (0, 16, 32, 48)
# Requests after which the older filter is dropped. When full, 0.24% of all other requests count as
# completed, which excuses one guilty request in four hundred for one crash; at 60 requests a second
# for one server the filters cover the last one to two minutes.
GENERATION_SIZE = 4096
# The maximum number of excused requests; a crash of the server adds some tens.
MAX_EXCUSED = 1024


class CompletedRequests:
    """Excuses requests that the server has completed, at one crash for each completion.

    Failure without it: a tenth of the servers is lost at once, and a page that everybody requests
    was running on all of them. It looks like a request that crashes servers, and nobody gets it. A
    request that a server has completed has most likely not crashed it. A page that starts to crash
    servers is excused at the next crash of each server, and at no later one.

    Fingerprints are kept in 16 KiB, whatever their number: in two Bloom filters that are replaced
    in turn.
    """

    def __init__(self) -> None:
        self.newer = bytearray(BITS // 8)
        self.older = bytearray(BITS // 8)
        self.count = 0
        # Requests that were excused and not completed since, each with the crash in question.
        self.excused: OrderedDict[int, int] = OrderedDict()

    def add(self, fingerprint: int) -> None:
        """Record a request that was completed."""
        self.excused.pop(fingerprint, None)
        for shift in SHIFTS:
            bit = fingerprint >> shift & BITS - 1
            self.newer[bit >> 3] |= 1 << (bit & 7)
        self.count += 1
        if self.count >= GENERATION_SIZE:
            self.older, self.newer = self.newer, bytearray(BITS // 8)
            self.count = 0

    def excuse(self, fingerprint: int, crash: int) -> bool:
        """Tell whether a request that was running at a crash of the server is excused for it.

        All runs of a request are excused for the same ``crash``, since each lost run is reported on
        its own.
        """
        if fingerprint in self.excused:
            return self.excused[fingerprint] == crash
        if fingerprint not in self:
            return False
        self.excused[fingerprint] = crash
        if len(self.excused) > MAX_EXCUSED:
            self.excused.popitem(last=False)
        return True

    def __contains__(self, fingerprint: int) -> bool:
        return any(
            all(
                generation[(fingerprint >> shift & BITS - 1) >> 3] >> (fingerprint >> shift & 7) & 1
                for shift in SHIFTS
            )
            for generation in (self.newer, self.older)
        )
