"""Errors of a single HTTP call to the store that got no response."""

import aiohttp


class CallNotSentError(Exception):
    """No connection was established, so the store did not receive the call."""


class ResponseLostError(Exception):
    """The connection broke before the response, so the store may have executed the call."""


async def disable_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from resending a PUT or DELETE after a lost connection.

    aiohttp resends methods that HTTP defines as idempotent once. A conditional write is not
    idempotent: if the first copy took effect and its response was lost, the second conflicts with
    the first, and the writer gets ``version-conflict`` for its own successful write. aiohttp's
    retry loop only catches its own errors, so raising others reports the lost response to the
    caller.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise CallNotSentError(str(error)) from error
    except (aiohttp.ClientConnectionError, aiohttp.ClientPayloadError) as error:
        raise ResponseLostError(str(error) or type(error).__name__) from error
