"""Copies of other daemons' settlements that may not be in the store yet.

If such a daemon crashes, its entries are billed from these copies.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.budget.holdername import process_of
from oriolegauge.budget.messages import (
    DeferredSettle,
    JournalAnswer,
    JournalAppend,
    JournalEntry,
    JournalFloor,
)
from oriolegauge.budget.shard import Settlement, shard_key, unmerged

COPIES_MAX = 200_000
"""Copies of all origins together, 40 MB; further appends are refused."""

COPY_AGE_MAX_S = 6 * 3600.0
"""Age at which a copy may be dropped; no store outage lasts longer."""


@dataclass(slots=True)
class _Copies:
    entries: dict[int, tuple[float, Settlement]] = field(default_factory=dict)
    floor: int = 0


@dataclass(slots=True)
class _Deferred:
    copied_at: float
    settle: DeferredSettle


class Journal:
    """Store copies by holder and shard, in any order of arrival."""

    def __init__(self, *, shard_count: int) -> None:
        """Assign entries to `shard_count` shards."""
        self._shard_count = shard_count
        self._copies: dict[tuple[str, str], _Copies] = {}
        self._deferred: dict[str, dict[str, _Deferred]] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of copies."""
        return self._count

    def append(self, message: JournalAppend, now: float) -> bool:
        """Store the copies; return False if the journal is full."""
        for floor in message.floors:
            self._raise_floor(floor)
        self._resolve(message.origin, message.resolved)
        if self._count + len(message.entries) > COPIES_MAX:
            self._drop_old(now)
        if self._count + len(message.entries) > COPIES_MAX:
            return False
        for entry in message.entries:
            self._keep(entry, now)
        for deferred in message.deferred:
            self._keep_deferred(message.origin, deferred, now)
        return True

    def query(self, origin: str) -> JournalAnswer:
        """Return all copies of the entries of a process."""
        entries = tuple(
            JournalEntry(holder, settlement)
            for (holder, _), copies in self._copies.items()
            if process_of(holder) == origin
            for _, settlement in copies.entries.values()
        )
        deferred = self._deferred.get(origin, {}).values()
        return JournalAnswer(
            origin, entries, tuple(one.settle for one in deferred)
        )

    def reconcile(
        self, shard: str, stored: Mapping[str, Any]
    ) -> dict[str, list[Settlement]]:
        """Drop copies that are in the stored shard.

        Return the late entries of closed holders, by holder.
        """
        late = {}
        for holder, key in list(self._copies):
            if key != shard:
                continue
            position = stored['positions'].get(holder)
            if position is not None:
                self._raise_floor(JournalFloor(holder, shard, position))
            elif holder in stored['closed']:
                found = self._unmerged(holder, shard, stored)
                if found:
                    late[holder] = found
        return late

    def _unmerged(
        self, holder: str, shard: str, stored: Mapping[str, Any]
    ) -> list[Settlement]:
        copies = self._copies[holder, shard]
        found = unmerged(
            stored, holder, (one for _, one in copies.entries.values())
        )
        wanted = {one.position for one in found}
        self._forget(holder, shard, copies.entries.keys() - wanted)
        return found

    def _keep(self, entry: JournalEntry, now: float) -> None:
        shard = shard_key(entry.settlement.budget, self._shard_count)
        copies = self._copies.setdefault((entry.holder, shard), _Copies())
        position = entry.settlement.position
        if position > copies.floor and position not in copies.entries:
            copies.entries[position] = (now, entry.settlement)
            self._count += 1

    def _keep_deferred(
        self, origin: str, deferred: DeferredSettle, now: float
    ) -> None:
        kept = self._deferred.setdefault(origin, {})
        if deferred.settle.reservation_id not in kept:
            kept[deferred.settle.reservation_id] = _Deferred(now, deferred)
            self._count += 1

    def _raise_floor(self, floor: JournalFloor) -> None:
        copies = self._copies.get((floor.holder, floor.shard))
        if copies is None:
            return
        copies.floor = max(copies.floor, floor.position)
        self._forget(
            floor.holder,
            floor.shard,
            [one for one in copies.entries if one <= copies.floor],
        )

    def _forget(
        self, holder: str, shard: str, positions: Iterable[int]
    ) -> None:
        copies = self._copies[holder, shard]
        for position in list(positions):
            copies.entries.pop(position)
            self._count -= 1
        if not copies.entries:
            self._copies.pop((holder, shard))

    def _resolve(self, origin: str, reservation_ids: Iterable[str]) -> None:
        kept = self._deferred.get(origin, {})
        for reservation_id in reservation_ids:
            if kept.pop(reservation_id, None) is not None:
                self._count -= 1
        if not kept:
            self._deferred.pop(origin, None)

    def _drop_old(self, now: float) -> None:
        for (holder, shard), copies in list(self._copies.items()):
            old = [
                position
                for position, (copied_at, _) in copies.entries.items()
                if now - copied_at > COPY_AGE_MAX_S
            ]
            self._forget(holder, shard, old)
        for origin, kept in list(self._deferred.items()):
            old_ids = [
                one
                for one, deferred in kept.items()
                if now - deferred.copied_at > COPY_AGE_MAX_S
            ]
            self._resolve(origin, old_ids)
