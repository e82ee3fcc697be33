"""Close the holders of dead processes and bill the copies of their entries.

Until then the grants of a crashed daemon are stranded and the settlements that
it did not write are unbilled. Each daemon closes the shards for which it ranks
first by rendezvous hashing.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.budget.budgetpeers import BudgetPeers
from oriolegauge.budget.holdername import process_of
from oriolegauge.budget.journal import Journal
from oriolegauge.budget.journalwriter import PEER_ERRORS
from oriolegauge.budget.messages import (
    DeferredSettle,
    JournalAnswer,
    JournalQuery,
)
from oriolegauge.budget.shardlog import SPENDING_LEASE_S, ShardLog
from oriolegauge.budget.shardlogs import ShardLogs
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.rendezvous import first

QUERY_TIMEOUT_S = 1.0
"""Timeout of the query for journal copies at all reachable peers."""

PENDING_MAX = 2_000
"""Processes to close; beyond it the oldest are dropped."""

DEAD_PROCESSES_MAX = 10_000
"""Dead processes kept to close late writes; over a week of crashes."""

RECHECK_S = 1800.0
"""Time during which shards are taken over from other closers that crash."""

WRITES_AT_ONCE = 8
"""Shards closed at the same time, to spare the store."""


@dataclass(slots=True)
class _PendingClosure:
    """A process to close.

    Without a failure proof it must not have written for some time.
    """

    has_failure_proof: bool
    in_all_shards: bool
    since: float
    shards: set[str]
    members: tuple[str, ...] | None = None
    own: set[str] = field(default_factory=set)
    seen: dict[str, tuple[int, float]] = field(default_factory=dict)


class HolderCloser:
    """Close the holders of dead processes in the shards of this daemon."""

    def __init__(
        self,
        *,
        daemon: str,
        process: str,
        logs: ShardLogs,
        peers: BudgetPeers,
        journal: Journal,
        clock: Callable[[], float],
        take_over_settlement: Callable[[DeferredSettle], None],
    ) -> None:
        """Close holders on behalf of `daemon`.

        `take_over_settlement` is called with each settlement that a dead
        process left unconfirmed.
        """
        self._daemon = daemon
        self._process = process
        self._logs = logs
        self._peers = peers
        self._journal = journal
        self._clock = clock
        self._take_over = take_over_settlement
        self._pending: OrderedDict[str, _PendingClosure] = OrderedDict()
        self._dead: OrderedDict[str, None] = OrderedDict()

    @property
    def pending(self) -> list[str]:
        """Return the processes whose closure is not finished."""
        return list(self._pending)

    def add(
        self,
        process: str,
        *,
        has_failure_proof: bool,
        in_all_shards: bool = False,
    ) -> None:
        """Schedule the closure of a process.

        With `in_all_shards`, also close it where other daemons rank first.
        """
        if process == self._process:
            return
        known = self._pending.get(process)
        if known is None:
            self._pending[process] = _PendingClosure(
                has_failure_proof,
                in_all_shards,
                self._clock(),
                set(self._logs.keys),
            )
        else:
            known.has_failure_proof = (
                known.has_failure_proof or has_failure_proof
            )
            known.in_all_shards = known.in_all_shards or in_all_shards
        if has_failure_proof:
            self._dead[process] = None
        while len(self._pending) > PENDING_MAX:
            self._pending.popitem(last=False)
        while len(self._dead) > DEAD_PROCESSES_MAX:
            self._dead.popitem(last=False)

    def close_late_writers(
        self, log: ShardLog, shard: Mapping[str, Any]
    ) -> None:
        """Schedule closure for dead processes that still have positions.

        A write in transit may have reached the store after the closure.
        """
        for holder in shard['positions']:
            if process_of(holder) in self._dead:
                log.close_process(process_of(holder))

    async def close_pending(self) -> None:
        """Close pending processes in all shards that the store can write."""
        for process, pending in list(self._pending.items()):
            await self._close(process, pending)
            if not pending.shards or (
                self._clock() - pending.since > RECHECK_S
                and pending.has_failure_proof
            ):
                self._pending.pop(process, None)

    async def _close(self, process: str, pending: _PendingClosure) -> None:
        own = await self._own_shards(pending)
        if not own:
            return
        answers = await self._copies(process)
        for answer in answers:
            for deferred in answer.deferred:
                self._take_over(deferred)
        limit = asyncio.Semaphore(WRITES_AT_ONCE)
        await asyncio.gather(
            *(
                self._close_shard(process, pending, key, answers, limit)
                for key in own
            )
        )

    async def _own_shards(self, pending: _PendingClosure) -> list[str]:
        """Return the shards to close here, ranked anew when members change."""
        if pending.in_all_shards:
            return sorted(pending.shards)
        members = tuple(
            sorted([self._daemon, *(one.name for one in self._peers.members())])
        )
        if members != pending.members:
            pending.members = members
            pending.own = set()
            for key in sorted(pending.shards):
                await asyncio.sleep(0)
                if first(key, members) == self._daemon:
                    pending.own.add(key)
        return sorted(pending.own & pending.shards)

    async def _copies(self, process: str) -> list[JournalAnswer]:
        message = JournalQuery(process)
        own = self._journal.query(process)
        try:
            others = await asyncio.wait_for(
                self._peers.query_journals(message), QUERY_TIMEOUT_S
            )
        except PEER_ERRORS:
            return [own]
        return [own, *others]

    async def _close_shard(
        self,
        process: str,
        pending: _PendingClosure,
        key: str,
        answers: list[JournalAnswer],
        limit: asyncio.Semaphore,
    ) -> None:
        log = self._logs.of_key(key)
        try:
            async with limit:
                if not await self._may_close(process, pending, log):
                    return
                self._add_entries(log, answers)
                log.close_process(process)
                await log.write()
        except OriolegaugeError:
            return
        pending.shards.discard(key)

    async def _may_close(
        self, process: str, pending: _PendingClosure, log: ShardLog
    ) -> bool:
        """Return whether the process is dead or wrote nothing for 900 s."""
        if pending.has_failure_proof:
            return True
        stored = await log.read_shard()
        positions = {
            holder: position
            for holder, position in stored['positions'].items()
            if process_of(holder) == process
        }
        now = self._clock()
        total = sum(positions.values())
        position, since = pending.seen.get(log.key, (total, now))
        if position != total:
            since = now
        pending.seen[log.key] = (total, since)
        return not positions or now - since >= SPENDING_LEASE_S

    def _add_entries(self, log: ShardLog, answers: list[JournalAnswer]) -> None:
        for answer in answers:
            for entry in answer.entries:
                budget = entry.settlement.budget
                if self._logs.of_budget(budget) is log:
                    log.close(entry.holder, [entry.settlement])
