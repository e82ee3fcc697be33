"""Middleware of the HTTP client for requests that must not be repeated."""

import aiohttp

# Errors of the HTTP client before a connection was open, so that nothing of
# the request was sent. Its timeout is no subclass of its connector error.
NOT_CONNECTED_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Raise ClientConnectionError if the connection is lost.

    The client sends GET, PUT, DELETE and some others again by itself after
    the more special errors of a lost connection.
    """
    try:
        return await handler(request)
    except NOT_CONNECTED_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(
            f'connection lost: {error!r}'
        ) from error
