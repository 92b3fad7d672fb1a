"""A summary of a view, small enough for one datagram."""

from collections.abc import Iterable

import xxhash

MIN_BYTES = 16
MAX_BYTES = 900
BITS_PER_MEMBER = 10
HASH_COUNT = 4


class ViewFilter:
    """A Bloom filter (Bloom, 1970) over the state of each member in a view.

    Whoever receives it sends the records that it does not contain. At 790 members a record that is
    missing is overlooked in one case of sixty; ``salt`` differs from one filter to the next, so
    that the next one finds it.
    """

    def __init__(self, data: bytes, salt: int) -> None:
        self.data = data
        self.salt = salt

    def contains(self, state_hash: int) -> bool:
        """Tell whether the view probably holds the state with this hash."""
        return all(
            self.data[bit >> 3] >> (bit & 7) & 1
            for bit in _bits(state_hash, self.salt, 8 * len(self.data))
        )


def make_filter(state_hashes: Iterable[int], count: int, salt: int) -> ViewFilter:
    """Return the filter of about ``count`` hashes."""
    size = min(MAX_BYTES, max(MIN_BYTES, count * BITS_PER_MEMBER // 8))
    data = bytearray(size)
    for state_hash in state_hashes:
        for bit in _bits(state_hash, salt, 8 * size):
            data[bit >> 3] |= 1 << (bit & 7)
    return ViewFilter(bytes(data), salt)


def _bits(state_hash: int, salt: int, size: int) -> list[int]:
    mixed = xxhash.xxh3_64_intdigest(state_hash.to_bytes(8, "big"), salt)
    first, step = mixed & 0xFFFFFFFF, mixed >> 32 | 1
    return [(first + number * step) % size for number in range(HASH_COUNT)]
