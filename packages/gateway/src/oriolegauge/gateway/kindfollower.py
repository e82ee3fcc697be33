"""Follower of all objects of one kind in the store.

Only some daemons watch the store and send its changes to their peers; the
others read it when no reading of it was heard of lately. Matters for the
store's load and for its outages.
"""

import asyncio
import math
import random
from collections.abc import Callable

import orjson
import structlog

from oriolegauge.gateway.shareddocuments import Document, SharedDocuments
from oriolegauge.objectstore import (
    Changes,
    HistoryLostError,
    KindStore,
    StoredObject,
    StoreError,
    revision_of,
)

# Duration of a long poll. A connection that broke without a reset is only
# noticed when the reply is missing at its end, so this is below the 3 s after
# which a daemon counts as disconnected from the store.
LONG_POLL_S = 2.0
# A watcher that has had no answer for this time does not count as one: a long
# poll, and a slow store.
WATCH_OVERDUE_S = 3.0
# A daemon that leaves the store to its peers reads it once the newest reading
# that it heard of is older than a random part, in this range, of the tolerated
# age. The first to read tells the others, so that most of them need not.
READING_AGE_SPREAD = (0.6, 1.0)
# A daemon whose role changes during a pause acts on it within this time. Peers
# send no changes while all daemons take each other for watchers.
ROLE_CHECK_PERIOD_S = 0.25
# Pause after a change, to read several at once. Otherwise each server that
# registers or leaves would cost one call of each watcher.
BATCH_CHANGES_S = 0.2
RETRY_MIN_S = 0.1
# Refused calls cost as much as others, so only leaders retry often if the store
# refuses a part of a large fleet.
LEADER_RETRY_MAX_S = 0.6
RETRY_MAX_S = 3.0

# Deleted objects that are remembered, in case a copy of the store has them.
MAX_DELETED = 1_000

SOURCE = 'store'

log = structlog.get_logger()


class KindFollower:
    """Publish the objects of a kind as one document whenever they change."""

    def __init__(
        self,
        *,
        store: KindStore,
        kind: str,
        documents: SharedDocuments,
        max_reading_age_s: float,
        long_poll_s: float = LONG_POLL_S,
        clock: Callable[[], float],
        is_watcher: Callable[[], bool],
        is_leader: Callable[[], bool],
        on_store_regained: Callable[[], None],
        on_first_attempt: Callable[[], None],
    ) -> None:
        """Publish to `documents` under the kind's name.

        `on_first_attempt` is called after the first call of the store, whether
        it succeeded or failed.

        While `is_watcher` is false, changes come from peers, and the store is
        only read if no reading younger than `max_reading_age_s` was heard of.
        Watchers wait for `long_poll_s` at a time.
        While `is_leader` is true, failed calls are retried with a shorter
        backoff.
        """
        self._store = store
        self._kind = kind
        self._documents = documents
        self._readings = documents.readings
        self._max_reading_age_s = max_reading_age_s
        self._long_poll_s = long_poll_s
        self._clock = clock
        self._is_watcher = is_watcher
        self._is_leader = is_leader
        self._on_store_regained = on_store_regained
        self._on_first_attempt = on_first_attempt
        self._has_tried_store = False
        self._objects: dict[str, StoredObject] = {}
        # Last versions of deleted objects, by key.
        self._deleted: dict[str, int] = {}
        self._revision: int | None = None
        # Time of the last answer by the clock of the readings.
        self._answered_at = -math.inf
        self._failed_at = -math.inf
        self._regained_at = clock()
        self._is_store_unavailable = False
        self._has_watched: bool | None = None
        self._is_poll_spread = False

    @property
    def has_tried_store(self) -> bool:
        """State whether the first call of the store succeeded or failed.

        Before that, a document of a peer may be older than what this daemon
        used before a restart.
        """
        return self._has_tried_store

    @property
    def is_store_unavailable(self) -> bool:
        """State whether the last call failed."""
        return self._is_store_unavailable

    @property
    def failed_at(self) -> float:
        """Return the loop time of the last failed call."""
        return self._failed_at

    @property
    def regained_at(self) -> float:
        """Return the loop time of the first answer after the last failure."""
        return self._regained_at

    @property
    def watches_store(self) -> bool:
        """State whether changes are watched for, and not left to peers."""
        return bool(self._has_watched)

    @property
    def is_watching(self) -> bool:
        """State whether the store answers the watch of this daemon."""
        return (
            self.watches_store
            and not self._is_store_unavailable
            and self._answer_age_s() < WATCH_OVERDUE_S
        )

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        failures = 0
        while True:
            try:
                await self._step()
            except HistoryLostError:
                log.info('change history expired, reading all', kind=self._kind)
                self._revision = None
            except StoreError as error:
                failures += 1
                self._note_failure(error)
                await self._pause_before_retry(failures)
            else:
                failures = 0
                self._note_success()

    async def _pause_before_retry(self, failures: int) -> None:
        is_leader = self._is_leader()
        longest = LEADER_RETRY_MAX_S if is_leader else RETRY_MAX_S
        pause_s = random.uniform(
            RETRY_MIN_S, min(longest, RETRY_MIN_S * 2**failures)
        )
        if is_leader:
            await asyncio.sleep(pause_s)
        else:
            await self._sleep_unless_leader(pause_s)

    async def _sleep_unless_leader(self, seconds: float) -> None:
        """Sleep, but return soon once this daemon is a leader."""
        left_s = seconds
        while left_s > 0 and not self._is_leader():
            step_s = min(ROLE_CHECK_PERIOD_S, left_s)
            await asyncio.sleep(step_s)
            left_s -= step_s

    async def _wait_until_due(self) -> None:
        """Return if this daemon watches or leads, or hears of no reading.

        While readings are young, others watch. Without them as a sign, all
        daemons that miss lost watchers would begin to watch at once.
        """
        max_age_s = self._max_reading_age_s * random.uniform(
            *READING_AGE_SPREAD
        )
        while not self._watches_now() and self._known_age_s() < max_age_s:
            if not self._is_watcher():
                self._note_role()
            await asyncio.sleep(ROLE_CHECK_PERIOD_S)
        if not self._watches_now():
            log.info(
                'store read, as no reading was heard of',
                kind=self._kind,
                revision=self._revision,
                age_s=_rounded(self._known_age_s()),
            )

    def _watches_now(self) -> bool:
        """State whether this daemon goes on to watch, or begins at once."""
        return self._is_watcher() and (
            bool(self._has_watched) or self._is_leader()
        )

    def _known_age_s(self) -> float:
        """Return the seconds since the newest reading, or own answer.

        An answer that shows an older state than the held one is no reading of
        it, and the next would not be another.
        """
        return min(self._readings.age_s(self._kind), self._answer_age_s())

    async def _step(self) -> None:
        if self._revision is None:
            await self._read_all()
            return
        was_unavailable = self._is_store_unavailable
        if not was_unavailable:
            await self._wait_until_due()
        is_watcher = self._note_role()
        self._adopt_peer_document()
        # After a failure the call returns at once, to notice a recovery.
        is_long = is_watcher and not was_unavailable
        wait_s = self._poll_s() if is_long else 0
        began_at = self._readings.now()
        changes = await self._store.changes(self._kind, self._revision, wait_s)
        self._apply_changes(changes, began_at + wait_s)
        has_changed = bool(changes.changed or changes.deleted)
        self._is_poll_spread = is_long and not has_changed
        # If all daemons lost the store, none of them watches it, so the watch
        # begins again without a pause.
        if is_watcher and has_changed and not was_unavailable:
            await asyncio.sleep(BATCH_CHANGES_S)

    def _poll_s(self) -> float:
        """Return how long to wait for a change.

        The first poll of a watch, and after a change, is of random length: many
        watchers begin then, and their readings would stay equally old.
        """
        if self._is_poll_spread:
            return self._long_poll_s
        return random.uniform(0, self._long_poll_s)

    def _note_role(self) -> bool:
        """Return whether this daemon watches the store; log each change."""
        is_watcher = self._is_watcher()
        if is_watcher != self._has_watched:
            self._has_watched = is_watcher
            log.info(
                'store watched' if is_watcher else 'store left to peers',
                kind=self._kind,
                revision=self._revision,
                age_s=_rounded(self._readings.age_s(self._kind)),
            )
        return is_watcher

    def _answer_age_s(self) -> float:
        return self._readings.now() - self._answered_at

    def _adopt_peer_document(self) -> None:
        """Continue from a peer's newer document instead of reading it again."""
        held = self._documents.get(self._kind)
        revision = self._documents.revisions.get(self._kind)
        if held is None or revision is None or self._revision is None:
            return
        if revision <= self._revision:
            return
        self._revision = revision
        self._objects = {
            row['key']: StoredObject(row['key'], held.revision, row['value'])
            for row in orjson.loads(held.payload)
        }

    def _apply_changes(self, changes: Changes, wait_ended_at: float) -> None:
        assert self._revision is not None
        # A slow reply, or one of a stale replica, may hold an older state.
        if changes.revision < self._revision:
            return
        for entry in changes.changed:
            self._objects[entry.key] = entry
        for key in changes.deleted:
            self._forget(key)
        self._revision = changes.revision
        read_at = min(wait_ended_at, self._readings.now())
        if changes.changed or changes.deleted:
            self._note_success()
            self._offer()
            # A change ends the wait when it is made.
            read_at = self._readings.now()
        self._readings.note(self._kind, read_at)

    async def _read_all(self) -> None:
        began_at = self._readings.now()
        found = await self._store.snapshot(self._kind)
        listed = {entry.key: entry for entry in found.objects}
        for key in self._objects.keys() - listed.keys():
            self._forget(key)
        # A store that was restored lists objects that it had deleted.
        self._objects = {
            key: entry
            for key, entry in listed.items()
            if self._deleted.get(key) != revision_of(entry.version)
        }
        self._revision = found.revision
        self._note_success()
        self._offer()
        self._readings.note(self._kind, began_at)

    def _forget(self, key: str) -> None:
        entry = self._objects.pop(key, None)
        if entry is None:
            return
        self._deleted[key] = revision_of(entry.version)
        if len(self._deleted) > MAX_DELETED:
            del self._deleted[next(iter(self._deleted))]

    def _offer(self) -> None:
        assert self._revision is not None
        payload = orjson.dumps(
            [
                {'key': entry.key, 'value': entry.value}
                for _, entry in sorted(self._objects.items())
            ]
        )
        self._documents.offer(
            self._kind, Document(self._revision, payload, SOURCE)
        )

    def _note_attempt(self) -> None:
        if not self._has_tried_store:
            self._has_tried_store = True
            self._on_first_attempt()

    def _note_success(self) -> None:
        self._note_attempt()
        was_unavailable = self._is_store_unavailable
        self._is_store_unavailable = False
        self._answered_at = self._readings.now()
        if was_unavailable:
            log.info('store regained', kind=self._kind)
            self._regained_at = self._clock()
            self._on_store_regained()

    def _note_failure(self, error: StoreError) -> None:
        if not self._is_store_unavailable:
            log.warning('store lost', kind=self._kind, error=error.message)
        self._is_store_unavailable = True
        self._failed_at = self._clock()
        self._note_attempt()


def _rounded(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
