"""Writes the frames of one WebSocket from a single task.

This matters when a peer reads slowly: the transport is full, and cancelling
one call must not affect the others.
"""

import asyncio
import contextlib
import socket as sockets
from collections import deque
from typing import Protocol

import aiohttp

_CLOSE_ERRORS = (aiohttp.ClientError, OSError, RuntimeError, TimeoutError)


class FrameSocket(Protocol):
    """Methods that the WebSockets of clients and servers share."""

    async def send_bytes(self, data: bytes) -> None:
        """Send one binary frame and wait while the transport is full."""

    async def close(self, *, code: int, message: bytes) -> bool:
        """Close the socket with the code."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return information on the transport."""


class FrameSender:
    """Queue frames up to a limit of bytes and write them from one task.

    In aiohttp, tasks that wait for a full transport share one future, so
    cancelling one of them cancels all. Callers therefore wait only for space
    in this queue, never for the transport.
    """

    def __init__(self, socket: FrameSocket, *, max_bytes: int) -> None:
        """Start the task that writes to the open socket."""
        self._socket = socket
        self._max_bytes = max_bytes
        self._frames: deque[bytes] = deque()
        self._bytes = 0
        self._closed = False
        self._frame_added = asyncio.Event()
        self._space_freed = asyncio.Event()
        self._writer = asyncio.create_task(self._write())

    def offer(self, payload: bytes) -> bool:
        """Queue the frame; return False if it does not fit."""
        if self._closed or not self._fits(payload, self._max_bytes):
            return False
        self._frames.append(payload)
        self._bytes += len(payload)
        self._frame_added.set()
        return True

    async def put(self, payload: bytes, *, max_bytes: int) -> None:
        """Wait until the frame fits into a queue of `max_bytes`, and queue it.

        Raise ConnectionResetError if the socket is closed.
        """
        limit = min(max_bytes, self._max_bytes)
        while not self._closed and not self._fits(payload, limit):
            self._space_freed.clear()
            await self._space_freed.wait()
        if not self.offer(payload):
            raise ConnectionResetError('the link is closed')

    async def close(self, *, code: int, timeout_s: float) -> None:
        """Close the socket; abort the connection after the timeout."""
        self._mark_closed()
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
                self._frame_added.clear()
                if not self._frames and not self._closed:
                    await self._frame_added.wait()
        except (aiohttp.ClientError, ConnectionError, RuntimeError):
            # The task that reads the socket also sees the error and reports it.
            self._abort()
        finally:
            self._mark_closed()

    async def _write_queued(self) -> None:
        while self._frames:
            payload = self._frames[0]
            await self._socket.send_bytes(payload)
            self._frames.popleft()
            self._bytes -= len(payload)
            self._space_freed.set()

    def _mark_closed(self) -> None:
        self._closed = True
        self._frame_added.set()
        self._space_freed.set()

    def _abort(self) -> None:
        # A transport with unsent bytes would otherwise stay open until the
        # other side reads.
        raw = self._socket.get_extra_info('socket')
        if raw is not None:
            with contextlib.suppress(OSError):
                raw.shutdown(sockets.SHUT_RDWR)
