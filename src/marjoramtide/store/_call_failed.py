"""What a single HTTP call to the store can end in, short of an answer."""

import aiohttp


class CallNotSentError(Exception):
    """No connection came about: the store has seen nothing of the call."""


class AnswerLostError(Exception):
    """The connection ended before the answer: the store may have acted on the call."""


async def no_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a PUT or DELETE again when its connection is lost.

    aiohttp does so once for methods that HTTP calls idempotent. A conditional write is not: where
    the first took effect and its answer was lost, the second meets its own result, and the writer
    is told ``version-conflict`` for a write that it won. Errors other than aiohttp's own pass
    through its loop, so that the caller hears of the lost answer.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise CallNotSentError(str(error)) from error
    except (aiohttp.ClientConnectionError, aiohttp.ClientPayloadError) as error:
        raise AnswerLostError(str(error) or type(error).__name__) from error
