"""Updates of an intents object, as pure functions.

An intents object is a value in the store that records which non-idempotent
requests were claimed for dispatch. Because a request id can be claimed once,
a retry on another daemon doesn't run the work a second time.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

import orjson

from oriolegauge.core import OriolegaugeError, RunState
from oriolegauge.ledger.errors import IntentLogFullError, KeyReusedError

ENTRY_RETENTION_S = 24 * 3600
# The store accepts values of up to 1 MB. The difference leaves space for
# entries that grow when their outcome is added.
OBJECT_MAX_BYTES = 900_000
# Size of the longest entry: a request id of 256 escaped bytes, a holder of 64
# and 120 bytes for the other fields.
ENTRY_MAX_BYTES = 440
FULL_RETRY_AFTER_S = 60


class IntentState(StrEnum):
    """State of an intent in the store."""

    CLAIMED = 'claimed'
    RAN = 'ran'
    NOT_RUN = 'not_run'


_RUN_STATES = {
    IntentState.CLAIMED: RunState.UNKNOWN,
    IntentState.RAN: RunState.RAN,
    IntentState.NOT_RUN: RunState.NOT_RUN,
}


@dataclass(frozen=True, slots=True)
class Intent:
    """Store one claim and its outcome.

    `code` is the HTTP status code of work that ran; `claimed_at` is Unix time
    in seconds.
    """

    holder: str
    number: int
    state: IntentState
    code: int | None
    claimed_at: int
    fingerprint: str

    @classmethod
    def decode(cls, entry: Sequence[Any]) -> 'Intent':
        """Return the intent of a stored entry."""
        holder, number, state, *rest = entry
        return cls(holder, number, IntentState(state), *rest)

    def encode(self) -> list[Any]:
        """Return the entry as a list, which takes half the bytes of a map."""
        return [
            self.holder,
            self.number,
            self.state.value,
            self.code,
            self.claimed_at,
            self.fingerprint,
        ]


@dataclass(frozen=True, slots=True)
class Claim:
    """Request the right to dispatch the work of a request id.

    The holder and its number identify the claim; the pair is never used again.
    """

    request_id: str
    holder: str
    number: int
    fingerprint: str


@dataclass(frozen=True, slots=True)
class Resolution:
    """Set the outcome of a claim.

    `fence_version` is the object version that a write of the claim expected
    whose answer was lost. The object must get a higher version, so that the
    store rejects that write if it arrives late.
    """

    request_id: str
    holder: str
    number: int
    state: IntentState
    code: int | None = None
    fence_version: int | None = None


@dataclass(frozen=True, slots=True)
class Claimed:
    """Permit one dispatch, before `dispatch_by` (Unix time in seconds)."""

    request_id: str
    dispatch_by: float


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Report an earlier claim of the same id.

    Its state is `ran`, with the HTTP status code, or `unknown`.
    """

    state: RunState
    holder: str
    code: int | None


@dataclass(frozen=True, slots=True)
class IntentStatus:
    """Report the state, holder and HTTP status code of a claimed request."""

    state: RunState
    holder: str
    code: int | None


@dataclass(frozen=True, slots=True)
class BatchResult:
    """Hold the entries after a batch, and one result per claim."""

    entries: Mapping[str, Sequence[Any]]
    results: Sequence[Claimed | AlreadyClaimed | OriolegaugeError]
    changed: bool


def status_of(intent: Intent) -> IntentStatus:
    """Return the run state, holder and code of an intent."""
    return IntentStatus(_RUN_STATES[intent.state], intent.holder, intent.code)


def apply_batch(
    entries: Mapping[str, Sequence[Any]],
    version: int,
    resolutions: Sequence[Resolution],
    claims: Sequence[Claim],
    now: float,
) -> BatchResult:
    """Apply the resolutions, then the claims, and return the new entries."""
    batch = _Batch(entries, version, now)
    for resolution in resolutions:
        batch.resolve(resolution)
    results = [batch.claim(claim) for claim in claims]
    return BatchResult(batch.entries, results, batch.changed)


class _Batch:
    def __init__(
        self, entries: Mapping[str, Sequence[Any]], version: int, now: float
    ) -> None:
        self.entries = {
            request_id: entry
            for request_id, entry in entries.items()
            if now - entry[4] < ENTRY_RETENTION_S
        }
        self.changed = False
        self._version = version
        self._now = now
        self._room_bytes: int | None = None

    def resolve(self, resolution: Resolution) -> None:
        fence = resolution.fence_version
        if fence is not None and self._version <= fence:
            self.changed = True
        intent = self._get(resolution.request_id)
        if not _is_same_claim(intent, resolution):
            return
        if intent.state is IntentState.CLAIMED:
            self._set(
                resolution.request_id,
                replace(intent, state=resolution.state, code=resolution.code),
            )

    def claim(
        self, claim: Claim
    ) -> Claimed | AlreadyClaimed | OriolegaugeError:
        intent = self._get(claim.request_id)
        if intent is None or intent.state is IntentState.NOT_RUN:
            return self._insert(claim)
        if (
            _is_same_claim(intent, claim)
            and intent.state is IntentState.CLAIMED
        ):
            return _claimed(claim, intent)
        if intent.fingerprint != claim.fingerprint:
            return KeyReusedError(
                'the idempotency key was used with another request'
            )
        status = status_of(intent)
        return AlreadyClaimed(status.state, status.holder, status.code)

    def _insert(self, claim: Claim) -> Claimed | OriolegaugeError:
        intent = Intent(
            claim.holder,
            claim.number,
            IntentState.CLAIMED,
            None,
            int(self._now),
            claim.fingerprint,
        )
        if not self._has_room(claim.request_id, intent):
            return IntentLogFullError(
                'too many non-idempotent requests in the last 24 h',
                retry_after_s=FULL_RETRY_AFTER_S,
            )
        self._set(claim.request_id, intent)
        return _claimed(claim, intent)

    def _get(self, request_id: str) -> Intent | None:
        entry = self.entries.get(request_id)
        return None if entry is None else Intent.decode(entry)

    def _set(self, request_id: str, intent: Intent) -> None:
        self.entries[request_id] = intent.encode()
        self.changed = True

    def _has_room(self, request_id: str, intent: Intent) -> bool:
        if len(self.entries) * ENTRY_MAX_BYTES < OBJECT_MAX_BYTES:
            return True
        if self._room_bytes is None:
            self._drop_not_run()
            self._room_bytes = OBJECT_MAX_BYTES - len(
                orjson.dumps(self.entries)
            )
        size_bytes = len(orjson.dumps({request_id: intent.encode()}))
        if size_bytes > self._room_bytes:
            return False
        self._room_bytes -= size_bytes
        return True

    def _drop_not_run(self) -> None:
        """Drop `not_run` entries; without one, an id may be claimed too."""
        self.entries = {
            request_id: entry
            for request_id, entry in self.entries.items()
            if entry[2] != IntentState.NOT_RUN
        }


def _claimed(claim: Claim, intent: Intent) -> Claimed:
    # A paused process must not dispatch after its entry was dropped, because
    # another process can claim the id then.
    return Claimed(claim.request_id, intent.claimed_at + ENTRY_RETENTION_S / 2)


def _is_same_claim(intent: Intent | None, other: Claim | Resolution) -> bool:
    return (
        intent is not None
        and intent.holder == other.holder
        and intent.number == other.number
    )
