"""Answer of one request, which retries can read while it is written.

Each reader gets the answer from its first byte, so a caller that lost its
connection in the middle of a stream can retry and miss nothing.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from enum import StrEnum
from typing import Any

from oriolegauge.core import OriolegaugeError, RunState

RECORD_OVERHEAD_BYTES = 1_000
# A bytes object and its list slot take about 41 bytes besides the content.
PART_OVERHEAD_BYTES = 41


class RecordState(StrEnum):
    """State of the answer."""

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'


class AnswerRecord:
    """Store status, headers and body of an answer for any number of readers."""

    def __init__(
        self,
        *,
        request_id: str,
        fingerprint: str,
        on_growth: Callable[[int], None],
        on_end: Callable[['AnswerRecord'], None],
    ) -> None:
        """Call `on_growth` with each size added, in bytes, and `on_end`."""
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.status: int | None = None
        self.headers: Mapping[str, str] = {}
        self.bill: Any = None
        self.error: OriolegaugeError | None = None
        self.state = RecordState.RUNNING
        self.ended_at: float = 0
        self.allows_rerun = False
        self.size_bytes = RECORD_OVERHEAD_BYTES + 2 * len(request_id)
        self._on_growth = on_growth
        self._on_end = on_end
        self._parts: list[bytes] = []
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def run_state(self) -> RunState:
        """Return whether the work of an ended record ran."""
        if self.state is RecordState.FINISHED:
            return RunState.RAN
        return self.error.run_state if self.error else RunState.UNKNOWN

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Set the status and headers, for which `started` waits."""
        self._require_running()
        self.status = status
        self.headers = dict(headers)
        self._grow(
            sum(len(name) + len(text) for name, text in headers.items())
            + PART_OVERHEAD_BYTES * 2 * len(headers)
        )
        self._wake()

    def append(self, part: bytes) -> None:
        """Add the next bytes of the body."""
        self._require_running()
        self._parts.append(part)
        self._grow(len(part) + PART_OVERHEAD_BYTES)
        self._wake()

    def finish(self, bill: Any, now: float) -> None:
        """Mark the answer as complete at `now` (seconds) and set its bill."""
        self._require_running()
        self.bill = bill
        self._end(RecordState.FINISHED, now)

    def fail(
        self,
        error: OriolegaugeError,
        now: float,
        *,
        allows_rerun: bool | None = None,
    ) -> None:
        """Mark the answer as failed at `now` (seconds).

        With `allows_rerun`, a retry runs the request again. By default it does
        only if the work did not run; pass True for idempotent work whose answer
        is incomplete.
        """
        self._require_running()
        self.error = error
        if allows_rerun is None:
            allows_rerun = error.run_state is RunState.NOT_RUN
        self.allows_rerun = allows_rerun
        self._end(RecordState.FAILED, now)

    async def started(self) -> int:
        """Wait for the HTTP status; raise the error of a failed answer."""
        while self.status is None:
            if self.error is not None:
                raise self.error
            if self.state is RecordState.FINISHED:
                raise ValueError('the answer was finished without a status')
            await self._changed()
        return self.status

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the whole body in order; raise the error of a failed answer."""
        position = 0
        while True:
            while position < len(self._parts):
                yield self._parts[position]
                position += 1
            if self.error is not None:
                raise self.error
            if self.state is RecordState.FINISHED:
                return
            await self._changed()

    def _require_running(self) -> None:
        if self.state is not RecordState.RUNNING:
            raise ValueError(f'the answer is already {self.state}')

    def _grow(self, size_bytes: int) -> None:
        self.size_bytes += size_bytes
        self._on_growth(size_bytes)

    def _end(self, state: RecordState, now: float) -> None:
        self.state = state
        self.ended_at = now
        self._wake()
        self._on_end(self)

    async def _changed(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
