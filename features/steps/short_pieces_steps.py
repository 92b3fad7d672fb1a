"""Steps with a stream of short pieces between two nodes."""

import asyncio
import itertools
import tracemalloc
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.peers._byte_stream import ByteStream

use_step_matcher("parse")

BYTES = [bytes([number]) for number in range(256)]


@given("a stream of which nothing is consumed")
def given_stream(context: Any) -> None:
    context.credits = []

    async def add_credit(size: int) -> None:
        context.credits.append(size)

    context.stream = ByteStream(add_credit)


@when("{count:d} pieces of one byte arrive on it")
def when_pieces_arrive(context: Any, count: int) -> None:
    context.count = count
    tracemalloc.start()
    for number in range(count):
        # As read from a connection: each piece is an object of its own.
        context.stream.feed(bytes(bytearray(BYTES[number % 256])), False)
    context.taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@then("they take at most {most:d} bytes of memory")
def then_take(context: Any, most: int) -> None:
    assert context.taken <= most, context.taken


@then("they are consumed in order, with credit for each byte")
def then_consumed(context: Any) -> None:
    async def read() -> bytes:
        data = b""
        async for piece in context.stream:
            data += piece
            if len(data) == context.count:
                break
        return data

    expected = b"".join(itertools.islice(itertools.cycle(BYTES), context.count))
    received = asyncio.run(read())
    assert received == expected
    # Credit for the last block is due when the next one is asked for.
    assert 0 < sum(context.credits) <= context.count, context.credits
