"""Write an answer into a ledger record, and read it back for callers."""

from collections.abc import Callable, Mapping

from oriolegauge.daemon.answersink import AnswerSink
from oriolegauge.ledger import AnswerRecord


class RecordSink:
    """Append an answer to a record; readers come and go."""

    def __init__(
        self, record: AnswerRecord, clock: Callable[[], float]
    ) -> None:
        """Write to a running record; `clock` is in seconds."""
        self._record = record
        self._clock = clock

    @property
    def started(self) -> bool:
        """Tell whether status and headers are known."""
        return self._record.status is not None

    @property
    def gone(self) -> bool:
        """Return False: a retry may still read the answer."""
        return False

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Set status and headers."""
        self._record.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Append bytes of the body."""
        self._record.append(data)

    async def finish(self) -> None:
        """End the answer whole."""
        self._record.finish(None, self._clock())


async def replay(record: AnswerRecord, sink: AnswerSink) -> None:
    """Copy a record to a caller from its first byte as it grows."""
    status = await record.started()
    await sink.start(status, record.headers)
    async for chunk in record.chunks():
        await sink.write(chunk)
    await sink.finish()
