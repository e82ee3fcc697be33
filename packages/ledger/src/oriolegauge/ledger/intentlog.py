"""Durable intents: non-idempotent work with a key is dispatched once."""

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

CLAIM_WAIT_S = 1.0
REQUEST_ID_MAX_BYTES = 256
HOLDER_MAX_BYTES = 64


@dataclass(frozen=True, slots=True)
class Ran:
    """Record that the dispatched work ran and its status code."""

    code: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """Record that nothing was sent and nothing will be."""


@dataclass(frozen=True, slots=True)
class Unresolved:
    """Leave the claim as it is: the work may have run."""


class IntentLog:
    """Claim ids in the store before dispatch and record outcomes after."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        holder: str,
        shard_count: int,
        clock: Callable[[], float],
    ) -> None:
        """Act as `holder`, a name that no other process start ever uses.

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
        self._held: dict[str, int] = {}

    async def claim(
        self, request_id: str, fingerprint: str
    ) -> Claimed | AlreadyClaimed:
        """Claim the id for one dispatch; takes at most 1 s.

        Raise ClaimRefusedError or IntentLogFullError (both not run) or
        KeyReusedError.
        """
        if len(json.dumps(request_id)) > REQUEST_ID_MAX_BYTES:
            raise InvalidRequestError('the request id is too long')
        writer = self._writer(request_id)
        pending = self._pending(request_id, fingerprint)
        writer.add_claim(pending)
        try:
            await asyncio.wait({pending.future}, timeout=CLAIM_WAIT_S)
        except asyncio.CancelledError:
            writer.abandon(pending)
            raise
        if not pending.future.done():
            writer.abandon(pending)
            raise ClaimRefusedError(
                'the claim was not stored in time; nothing was dispatched',
                retry_after_s=CLAIM_WAIT_S,
            )
        outcome = pending.future.result()
        if isinstance(outcome, Claimed):
            self._held[request_id] = pending.claim.number
        return outcome

    async def record(
        self, request_id: str, outcome: Ran | NotRun | Unresolved
    ) -> None:
        """Queue the outcome of a claim held here and return at once.

        Raise ValueError for an id that is not claimed here.
        """
        number = self._held.pop(request_id, None)
        if number is None:
            raise ValueError('the id is not claimed here')
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
        """Return what is known of the id, or None; raise StoreError."""
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
        """Wait until all outcomes are stored; the caller bounds the time."""
        for writer in list(self._writers.values()):
            await writer.idle()

    async def close(self) -> None:
        """Stop all writers; claims without a stored outcome stay unknown."""
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
        # A caller that leaves does not fetch the refusal of its claim.
        outcome.add_done_callback(_mark_retrieved)
        return PendingClaim(claim, outcome)


def _mark_retrieved(outcome: asyncio.Future) -> None:
    if not outcome.cancelled():
        outcome.exception()
