"""Write an answer to a ledger record and replay it to callers.

The record lets a retry read the answer after its first caller disconnected.
"""

from collections.abc import Callable, Mapping

from oriolegauge.daemon.answersink import AnswerSink
from oriolegauge.ledger import AnswerRecord


class RecordSink:
    """Append an answer to a record that several callers may read."""

    def __init__(
        self, record: AnswerRecord, clock: Callable[[], float]
    ) -> None:
        """Write to the record of a running request; `clock` is in seconds."""
        self._record = record
        self._clock = clock

    @property
    def started(self) -> bool:
        """Return whether status and headers are known."""
        return self._record.status is not None

    @property
    def is_disconnected(self) -> bool:
        """Return False, as a retry may still read the answer."""
        return False

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Set status and headers."""
        self._record.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Append bytes of the body."""
        self._record.append(data)

    async def finish(self) -> None:
        """Mark the answer as complete."""
        self._record.finish(None, self._clock())


async def replay(record: AnswerRecord, sink: AnswerSink) -> None:
    """Copy a record to a caller from its start, as it is written."""
    status = await record.started()
    await sink.start(status, record.headers)
    async for chunk in record.chunks():
        await sink.write(chunk)
    await sink.finish()
