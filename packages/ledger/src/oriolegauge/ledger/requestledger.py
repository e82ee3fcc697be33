"""Running and recently ended requests of a daemon, by request id.

A retry with the same idempotency key reads the answer of the first attempt, so
that the request neither runs nor is billed twice.
"""

from dataclasses import dataclass

from oriolegauge.core import RunState
from oriolegauge.ledger.answerrecord import AnswerRecord, RecordState
from oriolegauge.ledger.errors import AnswerExpiredError, KeyReusedError

REPLAY_WINDOW_S = 600
ANSWER_BYTES_MAX = 64_000_000
RECORDS_MAX = 10_000
# A retry is billed again if its id is known neither here nor to its budget
# shard. A shard stores the last 20,000 billed ids, and one daemon serves ids of
# several shards.
TOMBSTONES_MAX = 100_000


@dataclass(frozen=True, slots=True)
class Opened:
    """Return a new record; the request must now be run."""

    record: AnswerRecord


@dataclass(frozen=True, slots=True)
class Joined:
    """Return the record of a request that is still running."""

    record: AnswerRecord


@dataclass(frozen=True, slots=True)
class Replayed:
    """Return the record of an ended request: its whole answer or its error."""

    record: AnswerRecord


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """Store the outcome of a request whose answer was dropped."""

    fingerprint: str
    run_state: RunState


class RequestLedger:
    """Store the records of running and recently ended requests."""

    def __init__(
        self,
        *,
        answer_bytes_max: int = ANSWER_BYTES_MAX,
        records_max: int = RECORDS_MAX,
        tombstones_max: int = TOMBSTONES_MAX,
    ) -> None:
        """Set the limits of the stored records and tombstones.

        The limits are the bytes and the number of records, and the number of
        tombstones: ids of ended requests whose answers were dropped.
        """
        self._answer_bytes_max = answer_bytes_max
        self._records_max = records_max
        self._tombstones_max = tombstones_max
        self._answer_bytes = 0
        self._running: dict[str, AnswerRecord] = {}
        self._ended: dict[str, AnswerRecord] = {}
        self._tombstones: dict[str, _Tombstone] = {}

    @property
    def answer_bytes(self) -> int:
        """Return the size of all running and ended records in bytes."""
        return self._answer_bytes

    @property
    def record_count(self) -> int:
        """Return the number of running and ended records."""
        return len(self._running) + len(self._ended)

    def open(
        self, request_id: str, fingerprint: str, now: float
    ) -> Opened | Joined | Replayed:
        """Return the record of the request at `now` (seconds).

        Raise KeyReusedError for another fingerprint and AnswerExpiredError
        when the answer was dropped.
        """
        self._expire(now)
        known = (
            self._running.get(request_id)
            or self._ended.get(request_id)
            or self._tombstones.get(request_id)
        )
        if known is not None and known.fingerprint != fingerprint:
            raise KeyReusedError(
                'the idempotency key was used with another request'
            )
        match known:
            case None:
                return Opened(self._create(request_id, fingerprint))
            case _Tombstone():
                raise AnswerExpiredError(
                    'the answer is no longer stored', run_state=known.run_state
                )
        if known.state is RecordState.RUNNING:
            return Joined(known)
        return Replayed(known)

    def find(self, request_id: str) -> AnswerRecord | None:
        """Return the record of a request, or None if there is none."""
        return self._running.get(request_id) or self._ended.get(request_id)

    def _create(self, request_id: str, fingerprint: str) -> AnswerRecord:
        record = AnswerRecord(
            request_id=request_id,
            fingerprint=fingerprint,
            on_growth=self._grow,
            on_end=self._end,
        )
        self._running[request_id] = record
        self._grow(record.size_bytes)
        return record

    def _grow(self, size_bytes: int) -> None:
        self._answer_bytes += size_bytes
        self._evict()

    def _end(self, record: AnswerRecord) -> None:
        del self._running[record.request_id]
        if record.allows_rerun:
            # Tombstones of refused requests would evict those of billed ids.
            self._answer_bytes -= record.size_bytes
            return
        self._ended[record.request_id] = record
        self._expire(record.ended_at)
        self._evict()

    def _expire(self, now: float) -> None:
        while self._ended:
            oldest = next(iter(self._ended.values()))
            if now - oldest.ended_at < REPLAY_WINDOW_S:
                return
            self._replace_with_tombstone(oldest)

    def _evict(self) -> None:
        while self._ended and (
            self._answer_bytes > self._answer_bytes_max
            or self.record_count > self._records_max
        ):
            self._replace_with_tombstone(next(iter(self._ended.values())))

    def _replace_with_tombstone(self, record: AnswerRecord) -> None:
        del self._ended[record.request_id]
        self._answer_bytes -= record.size_bytes
        self._tombstones[record.request_id] = _Tombstone(
            record.fingerprint, record.run_state
        )
        while len(self._tombstones) > self._tombstones_max:
            del self._tombstones[next(iter(self._tombstones))]
