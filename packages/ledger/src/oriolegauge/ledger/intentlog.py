"""Claims in the store that let non-idempotent work be dispatched only once.

A daemon claims the request id before it dispatches the work. If a caller
retries after a timeout or a crash, on any daemon, the retry finds the claim.
"""

import asyncio
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from oriolegauge.core.errors import InvalidRequestError
from oriolegauge.core.rendezvous import shard_of
from oriolegauge.ledger.errors import ClaimRefusedError
from oriolegauge.ledger.intents import (
    AlreadyClaimed,
    Claim,
    Claimed,
    Intent,
    IntentState,
    IntentStatus,
    Resolution,
    status_of,
)
from oriolegauge.ledger.intentwriter import IntentWriter, PendingClaim
from oriolegauge.objectstore import ObjectStore

CLAIM_TIMEOUT_S = 1.0
REQUEST_ID_MAX_BYTES = 256
HOLDER_MAX_BYTES = 64


@dataclass(frozen=True, slots=True)
class Ran:
    """Record that the work ran, with its HTTP status code."""

    code: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """Record that the work was not dispatched and will not be."""


@dataclass(frozen=True, slots=True)
class Unresolved:
    """Leave the claim without an outcome, as the work may have run."""


class IntentLog:
    """Claim request ids in the store and record the outcomes."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        holder: str,
        shard_count: int,
        clock: Callable[[], float],
    ) -> None:
        """Claim as `holder`, a name that is unique to this process start.

        `clock` returns Unix time in seconds: entries of all holders are
        dropped by age, so their clocks must agree within hours.
        """
        if len(json.dumps(holder)) > HOLDER_MAX_BYTES:
            raise ValueError('the holder name is too long')
        self._store = store
        self._holder = holder
        self._shard_count = shard_count
        self._clock = clock
        self._numbers = itertools.count(1)
        self._writers: dict[str, IntentWriter] = {}
        self._claim_numbers: dict[str, int] = {}

    async def claim(
        self, request_id: str, fingerprint: str
    ) -> Claimed | AlreadyClaimed:
        """Claim the id for one dispatch, within 1 s.

        Raise KeyReusedError for another fingerprint, and ClaimRefusedError or
        IntentLogFullError if nothing was claimed and the work must not run.
        """
        if len(json.dumps(request_id)) > REQUEST_ID_MAX_BYTES:
            raise InvalidRequestError('the request id is too long')
        writer = self._writer(request_id)
        pending = self._pending(request_id, fingerprint)
        writer.add_claim(pending)
        try:
            await asyncio.wait({pending.future}, timeout=CLAIM_TIMEOUT_S)
        except asyncio.CancelledError:
            writer.withdraw(pending)
            raise
        if not pending.future.done():
            writer.withdraw(pending)
            raise ClaimRefusedError(
                'the claim was not stored in time; nothing was dispatched',
                retry_after_s=CLAIM_TIMEOUT_S,
            )
        outcome = pending.future.result()
        if isinstance(outcome, Claimed):
            self._claim_numbers[request_id] = pending.claim.number
        return outcome

    async def record(
        self, request_id: str, outcome: Ran | NotRun | Unresolved
    ) -> None:
        """Queue the outcome of a claim for the next write, without waiting.

        Raise ValueError if this daemon did not claim the id.
        """
        number = self._claim_numbers.pop(request_id, None)
        if number is None:
            raise ValueError('the request id is not claimed by this daemon')
        match outcome:
            case Unresolved():
                return
            case NotRun():
                state, code = IntentState.NOT_RUN, None
            case Ran():
                state, code = IntentState.RAN, outcome.code
        self._writer(request_id).add_resolution(
            Resolution(request_id, self._holder, number, state, code)
        )

    async def lookup(self, request_id: str) -> IntentStatus | None:
        """Return the status of the id, or None; raise StoreError."""
        key = self._key(request_id)
        writer = self._writers.get(key)
        resolution = writer.find_resolution(request_id) if writer else None
        found = await self._store.get(key)
        entry = found.value['entries'].get(request_id) if found else None
        if entry is None:
            return None
        intent = Intent.decode(entry)
        is_newer = (
            resolution is not None
            and intent.holder == self._holder
            and intent.number == resolution.number
        )
        if is_newer:
            intent = Intent(
                intent.holder,
                intent.number,
                resolution.state,
                resolution.code,
                intent.claimed_at,
                intent.fingerprint,
            )
        return status_of(intent)

    async def flush(self) -> None:
        """Wait, without a time limit, until all outcomes are stored."""
        for writer in list(self._writers.values()):
            await writer.wait_until_idle()

    async def close(self) -> None:
        """Stop all writers; claims without a stored outcome stay `unknown`."""
        for writer in list(self._writers.values()):
            await writer.close()

    def _key(self, request_id: str) -> str:
        return f'intents/{shard_of(request_id, self._shard_count)}'

    def _writer(self, request_id: str) -> IntentWriter:
        key = self._key(request_id)
        writer = self._writers.get(key)
        if writer is None:
            writer = IntentWriter(store=self._store, key=key, clock=self._clock)
            self._writers[key] = writer
        return writer

    def _pending(self, request_id: str, fingerprint: str) -> PendingClaim:
        claim = Claim(
            request_id,
            self._holder,
            next(self._numbers),
            xxhash.xxh3_64_hexdigest(fingerprint.encode()),
        )
        outcome = asyncio.get_running_loop().create_future()
        # A cancelled caller never reads the exception of its claim, which the
        # event loop would report as not retrieved.
        outcome.add_done_callback(_mark_retrieved)
        return PendingClaim(claim, outcome)


def _mark_retrieved(outcome: asyncio.Future) -> None:
    if not outcome.cancelled():
        outcome.exception()
