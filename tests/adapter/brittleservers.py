"""Stand-in servers that fall over if they turn too many requests away."""

import asyncio
from collections import deque

from .registeredserver import RegisteredServer

SLOTS = 6
QUEUE = 24
ANSWER_S = 0.3
DOWN_S = 2.0
RETRY_AFTER_S = 0.1
SECOND_S = 1.0


class BrittleServer(RegisteredServer):
    """Run requests in slots, let some wait, and reject the others.

    While `bears` is set the answers name it as the rejections a second that
    the server bears, and requests wait only until `queue_ends_at` (loop time).
    """

    def __init__(self, number, store, slots=SLOTS):
        super().__init__(f'brittle-{number}', store)
        self.slots = slots
        self.bears: int | None = None
        self.queue_ends_at = 0.0
        self.served_at: list[float] = []
        self.fell_at: list[float] = []
        self.rejected_at: deque[float] = deque()
        self._slots = asyncio.Semaphore(slots)
        self._running = 0
        self._restart = None

    def become_brittle(self, bears, queue_s):
        """Name `bears` from now on; let no request wait after `queue_s`."""
        self.bears = bears
        self.queue_ends_at = asyncio.get_running_loop().time() + queue_s

    async def stop(self):
        if self._restart:
            self._restart.cancel()
        self.abort()

    async def _write_entry(self, **fields):
        await super()._write_entry(slots=self.slots, **fields)

    @property
    def _room(self):
        is_queue_gone = (
            self.bears is not None
            and asyncio.get_running_loop().time() > self.queue_ends_at
        )
        return self.slots if is_queue_gone else self.slots + QUEUE

    async def _answer(self, fields, writer):
        attempt = fields['x-oriolegauge-attempt-id']
        if self._running >= self._room:
            self._reject(attempt, writer)
            return
        self._running += 1
        try:
            async with self._slots:
                await asyncio.sleep(ANSWER_S)
        finally:
            self._running -= 1
        self.served_at.append(asyncio.get_running_loop().time())
        writer.write(
            f'HTTP/1.1 200 OK\r\n{self._headers(attempt)}'
            'X-Oriolegauge-Server-Signature: s\r\n'
            f'Content-Length: {len(attempt)}\r\n\r\n{attempt}'.encode()
        )

    def _reject(self, attempt, writer):
        head = (
            f'HTTP/1.1 503 Full\r\n{self._headers(attempt)}'
            'X-Oriolegauge-Not-Executed: 1\r\n'
            f'Retry-After: {RETRY_AFTER_S}\r\nContent-Length: 0\r\n\r\n'
        )
        writer.write(head.encode())
        now = asyncio.get_running_loop().time()
        self.rejected_at.append(now)
        while self.rejected_at[0] <= now - SECOND_S:
            self.rejected_at.popleft()
        if self.bears is not None and len(self.rejected_at) > self.bears:
            self._fall(now)

    def _fall(self, now):
        self.fell_at.append(now)
        self.rejected_at.clear()
        self.abort()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(DOWN_S)
        await self.start()

    def _headers(self, attempt):
        brittle = (
            '' if self.bears is None else f'Server-Brittle: {self.bears}\r\n'
        )
        return (
            f'Keep-Alive: timeout=5\r\nX-Oriolegauge-Attempt-Id: {attempt}\r\n'
            f'{brittle}'
        )
