"""Server-sent events of a streamed completion."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import orjson

from oriolegauge.backends.errors import ServerConnectionLostError
from oriolegauge.backends.silencelimit import SilenceLimit

EVENT_END = b'\n\n'
DONE = b'data: [DONE]'
# The tail starts at the first event that ends a choice or reports the usage.
TAIL_MARKS = (b'"finish_reason":"', b'"finish_reason": "', b'"usage":{')


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold the token counts that the engine reports for a request."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Return the number of tokens to bill."""
        return self.prompt_tokens + self.output_tokens


class EngineStream:
    """Yield complete events and keep back the tail.

    The tail is the last events, which hold the finish reason and the usage.
    """

    def __init__(
        self, response: aiohttp.ClientResponse, limit: SilenceLimit
    ) -> None:
        """Read from an open response of the engine."""
        self._response = response
        self._limit = limit
        self._pending = b''
        self._tail = b''
        self.events = 0
        self.usage: Usage | None = None

    async def events_before_tail(self) -> AsyncIterator[bytes]:
        """Yield chunks that consist of whole events.

        Raise ServerConnectionLostError if the stream ends early.
        """
        try:
            while chunk := await self._limit.read(
                self._response.content.readany
            ):
                ready = self._split(chunk)
                if ready:
                    self.events += ready.count(EVENT_END)
                    yield ready
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ServerConnectionLostError(
                f'stream interrupted: {error!r}',
                timed_out=isinstance(error, TimeoutError),
            ) from error
        if DONE not in self._tail:
            raise ServerConnectionLostError(
                'stream ended without its end marker'
            )

    def tail(self) -> list[dict]:
        """Return the parsed events of the tail and set `usage`.

        The end marker is left out.
        """
        events = []
        for event in self._tail.split(EVENT_END):
            if event.startswith(b'data: {'):
                events.append(orjson.loads(event.removeprefix(b'data: ')))
        for event in events:
            if event.get('usage'):
                self.usage = parse_usage(event['usage'])
        return events

    def close(self) -> None:
        """Close the connection, which cancels the stream at the engine."""
        self._response.close()

    def _split(self, chunk: bytes) -> bytes:
        if self._tail:
            self._tail += chunk
            return b''
        self._pending += chunk
        cut = self._pending.rfind(EVENT_END) + len(EVENT_END)
        if cut < len(EVENT_END):
            return b''
        ready = self._pending[:cut]
        start = _tail_start(ready)
        if start < 0:
            self._pending = self._pending[cut:]
            return ready
        self._tail = self._pending[start:]
        self._pending = b''
        return ready[:start]


def parse_usage(usage: dict) -> Usage:
    """Return the token counts of the usage object of an answer."""
    return Usage(
        prompt_tokens=int(usage.get('prompt_tokens', 0)),
        output_tokens=int(usage.get('completion_tokens', 0)),
    )


def _tail_start(ready: bytes) -> int:
    marks = [place for mark in TAIL_MARKS if (place := ready.find(mark)) >= 0]
    if not marks:
        return ready.find(DONE)
    event = ready.rfind(EVENT_END, 0, min(marks))
    return 0 if event < 0 else event + len(EVENT_END)
