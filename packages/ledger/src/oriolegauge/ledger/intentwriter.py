"""Batched writes of claims and outcomes to one intents object.

One write at a time carries all that is waiting, so that many requests share a
write and the daemons conflict less often. While the store is unavailable,
claims are refused at once instead of waiting for a timeout.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from tenacity import (
    AsyncRetrying,
    retry_if_exception_type,
    stop_after_attempt,
    wait_random_exponential,
)

from oriolegauge.core import OriolegaugeError
from oriolegauge.ledger.errors import ClaimRefusedError
from oriolegauge.ledger.intents import (
    AlreadyClaimed,
    BatchResult,
    Claim,
    Claimed,
    IntentState,
    Resolution,
    apply_batch,
)
from oriolegauge.objectstore import (
    ObjectStore,
    StoreAnswerLostError,
    StoredObject,
    StoreRateLimitError,
    StoreUnavailableError,
    VersionConflictError,
)

BATCH_MAX = 256
WRITE_ATTEMPTS = 8
CONFLICT_BACKOFF_S = 0.005
CONFLICT_BACKOFF_MAX_S = 0.1
STORE_CALL_TIMEOUT_S = 0.8
# After a failed call, claims are refused for this time without another call.
STORE_FAILURE_BACKOFF_S = 0.2
BACKOFF_MAX_S = 5.0
# An outcome waits up to this time for a claim to share its write, because more
# writes cause more conflicts among daemons. Until it is stored, a retry on
# another daemon is answered with an unknown outcome; so `not_run`, which lets
# the retry run, is written at once.
OUTCOME_WRITE_DELAY_S = 0.5


@dataclass(eq=False, slots=True)
class PendingClaim:
    """Store a claim that waits for its write.

    `sent_version` is the object version expected by the last write that holds
    the claim and may have been applied, None if there is none.
    """

    claim: Claim
    future: asyncio.Future[Claimed | AlreadyClaimed]
    sent_version: int | None = None
    is_withdrawn: bool = False


class IntentWriter:
    """Write one intents object, one write at a time."""

    def __init__(
        self, *, store: ObjectStore, key: str, clock: Callable[[], float]
    ) -> None:
        """Write the object `key`; `clock` returns Unix time in seconds."""
        self._store = store
        self._key = key
        self._clock = clock
        self._current: StoredObject | None = None
        self._claims: list[PendingClaim] = []
        self._resolutions: dict[tuple[str, int], Resolution] = {}
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._refuse_until: float = 0
        self._failures = 0
        self._is_closed = False
        self._is_flushing = False

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is waiting to be written."""
        return self._task is None or self._task.done()

    def add_claim(self, pending: PendingClaim) -> None:
        """Queue a claim; raise ClaimRefusedError after a store failure."""
        if asyncio.get_running_loop().time() < self._refuse_until:
            raise _refusal(None)
        self._claims.append(pending)
        self._wake.set()
        self._start()

    def add_resolution(self, resolution: Resolution) -> None:
        """Queue an outcome, whose write is retried until it succeeds."""
        self._resolutions[resolution.request_id, resolution.number] = resolution
        if resolution.state is IntentState.NOT_RUN:
            self._wake.set()
        self._start()

    def find_resolution(self, request_id: str) -> Resolution | None:
        """Return the latest queued outcome of the id, or None."""
        found = [
            resolution
            for resolution in self._resolutions.values()
            if resolution.request_id == request_id
        ]
        return found[-1] if found else None

    def withdraw(self, pending: PendingClaim) -> None:
        """Withdraw a claim after its caller was told that it did not run."""
        if pending in self._claims:
            self._claims.remove(pending)
        elif pending.future.done() or self.is_idle:
            self._cancel_sent_write(pending)
        else:
            pending.is_withdrawn = True

    async def wait_until_idle(self) -> None:
        """Wait until all claims and outcomes are written."""
        if self.is_idle:
            return
        self._is_flushing = True
        self._wake.set()
        try:
            await asyncio.shield(self._task)
        finally:
            self._is_flushing = False

    async def close(self) -> None:
        """Stop writing; claims without a stored outcome stay `unknown`."""
        self._is_closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})

    def _start(self) -> None:
        if self.is_idle and not self._is_closed:
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._claims or self._resolutions:
            await self._wait_for_batch()
            self._wake.clear()
            resolutions, claims = self._take_batch()
            try:
                applied = await self._commit(resolutions, claims)
            except OriolegaugeError as error:
                self._refuse(claims, error)
                await self._back_off()
            else:
                self._failures = 0
                self._complete(resolutions, claims, applied)

    async def _wait_for_batch(self) -> None:
        is_urgent = self._is_flushing or any(
            resolution.state is IntentState.NOT_RUN
            for resolution in self._resolutions.values()
        )
        if not self._claims and not is_urgent:
            self._wake.clear()
            await self._wait_for_work(OUTCOME_WRITE_DELAY_S)

    async def _wait_for_work(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _take_batch(self) -> tuple[list[Resolution], list[PendingClaim]]:
        queued = list(self._resolutions.values())
        resolutions = queued[:BATCH_MAX]
        # A claim is decided only after the queued outcome of the same id.
        later = {resolution.request_id for resolution in queued[BATCH_MAX:]}
        ready: list[PendingClaim] = []
        waiting: list[PendingClaim] = []
        for pending in self._claims:
            is_ready = (
                len(ready) < BATCH_MAX and pending.claim.request_id not in later
            )
            (ready if is_ready else waiting).append(pending)
        self._claims = waiting
        return resolutions, ready

    async def _commit(
        self, resolutions: list[Resolution], claims: list[PendingClaim]
    ) -> BatchResult:
        # If the answer to a write is lost, the next attempt reads the object
        # and finds the claim by its number or writes it again.
        retrying = AsyncRetrying(
            retry=retry_if_exception_type(
                (VersionConflictError, StoreAnswerLostError)
            ),
            stop=stop_after_attempt(WRITE_ATTEMPTS),
            wait=wait_random_exponential(
                multiplier=CONFLICT_BACKOFF_S, max=CONFLICT_BACKOFF_MAX_S
            ),
            reraise=True,
        )
        return await retrying(self._try_write, resolutions, claims)

    async def _try_write(
        self, resolutions: list[Resolution], claims: list[PendingClaim]
    ) -> BatchResult:
        was_cached = self._current is not None
        applied = await self._apply(resolutions, claims)
        if not applied.changed and was_cached:
            # Without a write, only a new read shows that the cached object is
            # current.
            self._current = None
            applied = await self._apply(resolutions, claims)
        if applied.changed:
            await self._put(applied, claims)
        return applied

    async def _apply(
        self, resolutions: list[Resolution], claims: list[PendingClaim]
    ) -> BatchResult:
        if self._current is None:
            self._current = await self._read()
        return apply_batch(
            self._current.value.get('entries', {}),
            self._current.version,
            resolutions,
            [pending.claim for pending in claims],
            self._clock(),
        )

    async def _read(self) -> StoredObject:
        try:
            async with asyncio.timeout(STORE_CALL_TIMEOUT_S):
                found = await self._store.get(self._key)
        except (TimeoutError, OSError) as error:
            raise StoreUnavailableError('the store did not answer') from error
        return found or StoredObject(self._key, 0, {})

    async def _put(
        self, applied: BatchResult, claims: list[PendingClaim]
    ) -> None:
        version = self._current.version
        self._current = None
        earlier = [pending.sent_version for pending in claims]
        for pending in claims:
            pending.sent_version = version
        try:
            self._current = await self._send(applied.entries, version)
        except (
            VersionConflictError,
            StoreUnavailableError,
            StoreRateLimitError,
        ):
            for pending, sent_version in zip(claims, earlier, strict=True):
                pending.sent_version = sent_version
            raise

    async def _send(self, entries: Any, version: int) -> StoredObject:
        value = {'entries': entries}
        try:
            async with asyncio.timeout(STORE_CALL_TIMEOUT_S):
                stored = await self._store.put(self._key, value, version)
        except (TimeoutError, OSError) as error:
            raise StoreAnswerLostError(
                'no answer from the store; the write may have been applied'
            ) from error
        return StoredObject(self._key, stored.version, value)

    def _complete(
        self,
        resolutions: list[Resolution],
        claims: list[PendingClaim],
        applied: BatchResult,
    ) -> None:
        for resolution in resolutions:
            self._resolutions.pop(
                (resolution.request_id, resolution.number), None
            )
        for pending, outcome in zip(claims, applied.results, strict=True):
            if pending.is_withdrawn:
                self._cancel_sent_write(pending)
            elif isinstance(outcome, OriolegaugeError):
                pending.future.set_exception(outcome)
            else:
                pending.future.set_result(outcome)

    def _refuse(
        self, claims: Sequence[PendingClaim], error: OriolegaugeError
    ) -> None:
        loop = asyncio.get_running_loop()
        self._failures += 1
        refused = list(claims)
        if not isinstance(error, VersionConflictError):
            self._refuse_until = loop.time() + STORE_FAILURE_BACKOFF_S
            refused += self._claims
            self._claims = []
        for pending in refused:
            if not pending.is_withdrawn:
                pending.future.set_exception(_refusal(error))
            self._cancel_sent_write(pending)

    def _cancel_sent_write(self, pending: PendingClaim) -> None:
        """Store `not_run` if a write of the claim was or may be applied."""
        if pending.sent_version is None:
            return
        claim = pending.claim
        self.add_resolution(
            Resolution(
                claim.request_id,
                claim.holder,
                claim.number,
                IntentState.NOT_RUN,
                fence_version=pending.sent_version,
            )
        )

    async def _back_off(self) -> None:
        pause_s = min(
            BACKOFF_MAX_S, STORE_FAILURE_BACKOFF_S * 2 ** min(self._failures, 8)
        )
        await asyncio.sleep(STORE_FAILURE_BACKOFF_S)
        await self._wait_for_work(pause_s - STORE_FAILURE_BACKOFF_S)


def _refusal(error: OriolegaugeError | None) -> ClaimRefusedError:
    retry_after_s = error.retry_after_s if error else None
    return ClaimRefusedError(
        'the claim could not be stored; nothing was dispatched',
        retry_after_s=retry_after_s or 1.0,
    )
