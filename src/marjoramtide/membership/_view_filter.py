"""A Bloom filter of a view that fits one datagram."""

from collections.abc import Iterable

import xxhash

MIN_FILTER_BYTES = 16
MAX_FILTER_BYTES = 900
BITS_PER_MEMBER = 10
HASH_COUNT = 4


class ViewFilter:
    """A Bloom filter (Bloom, 1970) over the state of each member in a view.

    The receiver replies with the records that the filter does not contain. At 790 members a false
    positive hides one missing record in sixty; as each filter has another ``salt``, the next one
    reveals it.
    """

    def __init__(self, data: bytes, salt: int) -> None:
        self.data = data
        self.salt = salt

    def contains(self, state_hash: int) -> bool:
        """Return whether the view probably contains the state with this hash."""
        return all(
            self.data[bit >> 3] >> (bit & 7) & 1
            for bit in _bits(state_hash, self.salt, 8 * len(self.data))
        )


def make_filter(state_hashes: Iterable[int], count: int, salt: int) -> ViewFilter:
    """Return a filter of the given hashes, sized for about ``count`` of them."""
    size_bytes = min(MAX_FILTER_BYTES, max(MIN_FILTER_BYTES, count * BITS_PER_MEMBER // 8))
    data = bytearray(size_bytes)
    for state_hash in state_hashes:
        for bit in _bits(state_hash, salt, 8 * size_bytes):
            data[bit >> 3] |= 1 << (bit & 7)
    return ViewFilter(bytes(data), salt)


def _bits(state_hash: int, salt: int, size_bits: int) -> list[int]:
    mixed = xxhash.xxh3_64_intdigest(state_hash.to_bytes(8, "big"), salt)
    first, step = mixed & 0xFFFFFFFF, mixed >> 32 | 1
    return [(first + number * step) % size_bits for number in range(HASH_COUNT)]
