"""Single writer of the frames of one WebSocket."""

import asyncio
import contextlib
import socket as sockets
from collections import deque
from typing import Protocol

import aiohttp

_CLOSE_ERRORS = (aiohttp.ClientError, OSError, RuntimeError, TimeoutError)


class FrameSocket(Protocol):
    """Socket of either side, as the library has it."""

    async def send_bytes(self, data: bytes) -> None:
        """Send one binary frame and wait while the transport is full."""

    async def close(self, *, code: int, message: bytes) -> bool:
        """Close the socket with the code."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return information on the transport."""


class FrameSender:
    """Queue frames up to a bound and write them from one task.

    The library's tasks that wait for a full transport share one future, so
    that cancelling one of them cancels all. Callers therefore never wait for
    the transport, only for room in this queue.
    """

    def __init__(self, socket: FrameSocket, *, max_bytes: int) -> None:
        """Start to write to the open socket."""
        self._socket = socket
        self._max_bytes = max_bytes
        self._frames: deque[bytes] = deque()
        self._bytes = 0
        self._closed = False
        self._filled = asyncio.Event()
        self._room = asyncio.Event()
        self._writer = asyncio.create_task(self._write())

    def offer(self, payload: bytes) -> bool:
        """Queue the frame; return False if it does not fit."""
        if self._closed or not self._fits(payload, self._max_bytes):
            return False
        self._frames.append(payload)
        self._bytes += len(payload)
        self._filled.set()
        return True

    async def put(self, payload: bytes, *, max_bytes: int) -> None:
        """Queue the frame when less than `max_bytes` wait before it.

        Raise ConnectionResetError when the socket is closed.
        """
        limit = min(max_bytes, self._max_bytes)
        while not self._closed and not self._fits(payload, limit):
            self._room.clear()
            await self._room.wait()
        if not self.offer(payload):
            raise ConnectionResetError('the link is closed')

    async def close(self, *, code: int, timeout_s: float) -> None:
        """Close the socket, at the latest after the timeout."""
        self._stop()
        with contextlib.suppress(*_CLOSE_ERRORS):
            async with asyncio.timeout(timeout_s):
                await self._socket.close(code=code, message=b'')
        if not self._writer.done():
            self._abort()
        await asyncio.gather(self._writer, return_exceptions=True)

    def _fits(self, payload: bytes, limit: int) -> bool:
        return not self._frames or self._bytes + len(payload) <= limit

    async def _write(self) -> None:
        try:
            while not self._closed:
                await self._write_queued()
                self._filled.clear()
                if not self._frames and not self._closed:
                    await self._filled.wait()
        except (aiohttp.ClientError, ConnectionError, RuntimeError):
            # The reader of the socket sees the end too and reports it.
            self._abort()
        finally:
            self._stop()

    async def _write_queued(self) -> None:
        while self._frames:
            payload = self._frames[0]
            await self._socket.send_bytes(payload)
            self._frames.popleft()
            self._bytes -= len(payload)
            self._room.set()

    def _stop(self) -> None:
        self._closed = True
        self._filled.set()
        self._room.set()

    def _abort(self) -> None:
        # A transport with unsent bytes would otherwise stay open for as long
        # as the other side does not read.
        raw = self._socket.get_extra_info('socket')
        if raw is not None:
            with contextlib.suppress(OSError):
                raw.shutdown(sockets.SHUT_RDWR)
