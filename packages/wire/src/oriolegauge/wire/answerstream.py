"""Buffers the parts of one streamed answer between a link and its reader.

The buffer is bounded, so that a slow reader neither blocks the other calls of
the link nor fills the memory of the daemon.
"""

import asyncio
from collections import deque

from oriolegauge.core.errors import AnswerIncompleteError, OriolegaugeError
from oriolegauge.wire.errors import StreamOverflowError
from oriolegauge.wire.messages import Message


class AnswerStream:
    """Buffer the messages of one answer in order until they are read.

    The link never waits for the reader: if the buffer is full, the stream
    fails.
    """

    def __init__(self, *, max_messages: int, max_bytes: int) -> None:
        """Bound the buffer by messages and by their encoded bytes."""
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._buffer: deque[tuple[Message, int]] = deque()
        self._bytes = 0
        self._next_position = 0
        self._error: OriolegaugeError | None = None
        self._changed = asyncio.Event()

    def offer(self, message: Message, *, position: int, size: int) -> bool:
        """Add the message; return False if it was dropped."""
        if self._error or position < self._next_position:
            return False
        if position > self._next_position:
            self.fail(
                AnswerIncompleteError(
                    'a part of the streamed answer is missing'
                )
            )
            return False
        if self._is_full(size):
            self._buffer.clear()
            self.fail(StreamOverflowError('the stream is read too slowly'))
            return False
        self._next_position += 1
        self._bytes += size
        self._buffer.append((message, size))
        self._changed.set()
        return True

    def fail(self, error: OriolegaugeError) -> None:
        """End the stream with the error, after the buffered messages."""
        self._error = self._error or error
        self._changed.set()

    async def take(self) -> Message:
        """Return the next message; raise the error that ended the stream."""
        while not self._buffer:
            if self._error:
                raise self._error
            self._changed.clear()
            await self._changed.wait()
        message, size = self._buffer.popleft()
        self._bytes -= size
        return message

    def _is_full(self, size: int) -> bool:
        return (
            len(self._buffer) >= self._max_messages
            or self._bytes + size > self._max_bytes
        )
