"""Follows the objects of one kind in the store."""

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
)

# One waiting call lasts this long. A connection that has gone silent without
# a reset is noticed by the answer that is missing afterwards, so this is below
# the 3 s within which daemons count as out of touch.
WATCH_S = 2.0
# Daemons that don't watch hear of changes from those that do; this only bounds
# how late one is that all its peers have lost. At random, since all start at
# the same moment, and each that asks just after a change reads it from the
# store although a peer would tell it.
UNWATCHED_READ_S = (4.0, 8.0)
# Changes that follow one another are read together: servers that enrol or
# leave one by one would otherwise cost each watcher a call each.
GATHER_S = 0.2
RETRY_MIN_S = 0.1
# Refused calls cost as much as others, so a store that turns a part of a large
# fleet away is only asked often by the daemons that lead it.
LEADER_RETRY_MAX_S = 0.6
RETRY_MAX_S = 3.0

SOURCE = 'store'

log = structlog.get_logger()


class KindFollower:
    """Offer the objects of a kind as one document whenever they change."""

    def __init__(
        self,
        *,
        store: KindStore,
        kind: str,
        documents: SharedDocuments,
        clock: Callable[[], float],
        is_watcher: Callable[[], bool],
        is_leader: Callable[[], bool],
        on_regained: Callable[[], None],
        on_asked: Callable[[], None],
    ) -> None:
        """Offer documents under the kind's name.

        `on_asked` is called once the store has been asked, answered or not.

        While `is_watcher` is false, peers tell of changes, and the store is
        only asked now and then, by calls that may return an older state. A
        store that is lost is tried again often while `is_leader` is true.
        """
        self._store = store
        self._kind = kind
        self._documents = documents
        self._clock = clock
        self._is_watcher = is_watcher
        self._is_leader = is_leader
        self._on_regained = on_regained
        self._on_asked = on_asked
        self._was_asked = False
        self._objects: dict[str, StoredObject] = {}
        self._revision: int | None = None
        self._reached_at: float | None = None
        self._failed_at = -math.inf
        self._regained_at = clock()
        self._is_lost = False

    @property
    def was_asked(self) -> bool:
        """State whether the store has answered, or could not be asked.

        Until then a peer may hold an older state than this process knew before
        it was started again.
        """
        return self._was_asked

    @property
    def reached_at(self) -> float | None:
        """Return the loop time of the store's last answer."""
        return self._reached_at

    @property
    def is_lost(self) -> bool:
        """State whether the last call had no answer."""
        return self._is_lost

    @property
    def failed_at(self) -> float:
        """Return the loop time of the last call without an answer."""
        return self._failed_at

    @property
    def regained_at(self) -> float:
        """Return the loop time of the first answer after the last failure."""
        return self._regained_at

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        failures = 0
        while True:
            try:
                await self._step()
            except HistoryLostError:
                log.info('store history lost', kind=self._kind)
                self._revision = None
            except StoreError as error:
                failures += 1
                self._note_failure(error)
                await asyncio.sleep(self._retry_pause_s(failures))
            else:
                failures = 0
                self._note_success()

    def _retry_pause_s(self, failures: int) -> float:
        longest = LEADER_RETRY_MAX_S if self._is_leader() else RETRY_MAX_S
        return random.uniform(
            RETRY_MIN_S, min(longest, RETRY_MIN_S * 2**failures)
        )

    async def _step(self) -> None:
        is_watcher = self._is_watcher()
        self._catch_up()
        if self._revision is None:
            await self._read_all()
            return
        was_lost = self._is_lost
        changes = await self._store.changes(
            self._kind,
            self._revision,
            # A store that was lost answers at once when it is back.
            WATCH_S if is_watcher and not was_lost else 0,
            allow_stale=not is_watcher and not was_lost,
        )
        self._take_over(changes)
        if was_lost:
            # Daemons without the store watch nothing, and it may have been
            # lost for all of them: nobody else would tell what comes next.
            return
        if not is_watcher:
            await asyncio.sleep(random.uniform(*UNWATCHED_READ_S))
        elif changes.changed or changes.deleted:
            await asyncio.sleep(GATHER_S)

    def _catch_up(self) -> None:
        """Go on from what peers have told, which need not be read again."""
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

    def _take_over(self, changes: Changes) -> None:
        assert self._revision is not None
        # A store that was slow to answer may tell of an older state.
        if changes.revision < self._revision:
            return
        for entry in changes.changed:
            self._objects[entry.key] = entry
        for key in changes.deleted:
            self._objects.pop(key, None)
        self._revision = changes.revision
        if changes.changed or changes.deleted:
            self._note_success()
            self._offer()

    async def _read_all(self) -> None:
        found = await self._store.snapshot(self._kind)
        self._objects = {entry.key: entry for entry in found.objects}
        self._revision = found.revision
        self._note_success()
        self._offer()

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

    def _note_asked(self) -> None:
        if not self._was_asked:
            self._was_asked = True
            self._on_asked()

    def _note_success(self) -> None:
        self._note_asked()
        was_lost = self._is_lost
        self._is_lost = False
        self._reached_at = self._clock()
        if was_lost:
            log.info('store regained', kind=self._kind)
            self._regained_at = self._clock()
            self._on_regained()

    def _note_failure(self, error: StoreError) -> None:
        if not self._is_lost:
            log.warning('store lost', kind=self._kind, error=error.message)
        self._is_lost = True
        self._failed_at = self._clock()
        self._note_asked()
