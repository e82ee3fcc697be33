"""Configuration of a small deployment, and calls of its requesters."""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from .httpwire import encode, read_message
from .store import Store

KEY = 'key-0123456789'
TENANT = 'tenant-a'
HOST_NAME = 'shop.example'


def route(name: str, kind: str, **changes) -> dict:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST_NAME,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'service': 'app',
        'timeoutMs': 6000,
        'goalMs': 400,
        'priority': 1,
        'maxAttempts': 2,
        **changes,
    }


def write_config(
    store: Store,
    version: int,
    routes: list[dict],
    *,
    services: Iterable[str] = ('app',),
    keys: Iterable[str] = (KEY,),
) -> None:
    """Write a configuration, as the operator does."""
    store.write(
        'config',
        'main',
        {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': service,
                    'healthPath': '/health',
                    'maxConns': 400,
                    'engine': {'slots': 32, 'stride': 4},
                }
                for service in services
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 4194304,
                'headerTimeoutMs': 5000,
                'idleTimeoutMs': 10000,
            },
            'tenants': [
                {
                    'name': TENANT,
                    'apiKeys': list(keys),
                    'prepaid': 10_000_000,
                }
            ],
        },
    )


@dataclass
class Call:
    """Hold a request attempt and its outcome.

    `status` is 0 if the channel ended without a whole answer.
    """

    path: str
    attempt: str = field(default_factory=lambda: secrets.token_hex(8))
    status: int = 0
    reason: str = ''
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    sent_at: float = 0
    answered_at: float = 0

    def headers_to_send(self, deadline_ms: int, **more: str) -> dict[str, str]:
        """Return the headers of the request."""
        return {
            'Host': HOST_NAME,
            'X-Oriolegauge-Attempt-Id': self.attempt,
            'X-Oriolegauge-Deadline-Ms': str(deadline_ms),
            'X-Api-Key': KEY,
            **more,
        }


class Channel:
    """Keep a channel to a daemon for several requests."""

    def __init__(self, host: str, port: int) -> None:
        """Connect at the first request."""
        self._address = host, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self, call: Call, body: bytes = b'', *, deadline_ms: int = 5000, **more
    ) -> Call:
        """Send the request and read its answer."""
        call.sent_at = time.monotonic()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        *self._address
                    )
                self.writer.write(
                    encode(
                        f'POST {call.path} HTTP/1.1',
                        call.headers_to_send(deadline_ms, **more),
                        body,
                    )
                )
                await self.writer.drain()
                answer = await read_message(self.reader)
        except (OSError, EOFError, ValueError) as error:
            call.reason = repr(error)
            self.close()
        else:
            call.status = answer.status
            call.headers = answer.headers
            call.body = answer.body
            if answer.headers.get('connection') == 'close':
                self.close()
        call.answered_at = time.monotonic()
        return call

    def close(self) -> None:
        """Close the channel."""
        if self.writer:
            with contextlib.suppress(OSError):
                self.writer.close()
        self.reader = self.writer = None
