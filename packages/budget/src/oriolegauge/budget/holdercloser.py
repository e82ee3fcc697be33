"""Closing of dead holders with the copies of their entries."""

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
from oriolegauge.budget.shardlog import SPEND_LIMIT_S, ShardLog
from oriolegauge.budget.shardlogs import ShardLogs
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.rendezvous import first

QUERY_TIMEOUT_S = 1.0
"""Wait for the journal copies of all reachable peers."""

PENDING_MAX = 2_000
"""Processes whose closure is not finished; the oldest are dropped."""

DEAD_MAX = 10_000
"""Closed processes remembered, more than a week of deaths in the fleet."""

RECHECK_S = 1800.0
"""Time during which shards of other closers are taken over if they die."""

WRITES_AT_ONCE = 8
"""Shards closed at the same time, to spare the store."""


@dataclass(slots=True)
class _Pending:
    """A process to close; without evidence its position must stand still."""

    has_failure_proof: bool
    everywhere: bool
    since: float
    shards: set[str]
    members: tuple[str, ...] | None = None
    own: set[str] = field(default_factory=set)
    seen: dict[str, tuple[int, float]] = field(default_factory=dict)


class HolderCloser:
    """Close the holders of dead processes in the shards this daemon serves."""

    def __init__(
        self,
        *,
        daemon: str,
        process: str,
        logs: ShardLogs,
        peers: BudgetPeers,
        journal: Journal,
        clock: Callable[[], float],
        take_over: Callable[[DeferredSettle], None],
    ) -> None:
        """Close for `daemon`; `take_over` carries on unconfirmed settles."""
        self._daemon = daemon
        self._process = process
        self._logs = logs
        self._peers = peers
        self._journal = journal
        self._clock = clock
        self._take_over = take_over
        self._pending: OrderedDict[str, _Pending] = OrderedDict()
        self._dead: OrderedDict[str, None] = OrderedDict()

    @property
    def pending(self) -> list[str]:
        """Return the processes whose closure is not finished."""
        return list(self._pending)

    def add(
        self, process: str, *, has_failure_proof: bool, everywhere: bool = False
    ) -> None:
        """Note a dead process; with `everywhere`, whoever ranks first."""
        if process == self._process:
            return
        known = self._pending.get(process)
        if known is None:
            self._pending[process] = _Pending(
                has_failure_proof,
                everywhere,
                self._clock(),
                set(self._logs.keys),
            )
        else:
            known.has_failure_proof = (
                known.has_failure_proof or has_failure_proof
            )
            known.everywhere = known.everywhere or everywhere
        if has_failure_proof:
            self._dead[process] = None
        while len(self._pending) > PENDING_MAX:
            self._pending.popitem(last=False)
        while len(self._dead) > DEAD_MAX:
            self._dead.popitem(last=False)

    def sweep(self, log: ShardLog, shard: Mapping[str, Any]) -> None:
        """Close a dead process whose last write came after its closure."""
        for holder in shard['positions']:
            if process_of(holder) in self._dead:
                log.close_process(process_of(holder))

    async def work(self) -> None:
        """Close what is pending, as far as the store answers."""
        for process, pending in list(self._pending.items()):
            await self._close(process, pending)
            if not pending.shards or (
                self._clock() - pending.since > RECHECK_S
                and pending.has_failure_proof
            ):
                self._pending.pop(process, None)

    async def _close(self, process: str, pending: _Pending) -> None:
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

    async def _own_shards(self, pending: _Pending) -> list[str]:
        """Return the shards to close here; others wait for a new ranking."""
        if pending.everywhere:
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
        pending: _Pending,
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
        self, process: str, pending: _Pending, log: ShardLog
    ) -> bool:
        """Without evidence, require 900 s without a sign in the store."""
        if pending.has_failure_proof:
            return True
        stored = await log.look()
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
        return not positions or now - since >= SPEND_LIMIT_S

    def _add_entries(self, log: ShardLog, answers: list[JournalAnswer]) -> None:
        for answer in answers:
            for entry in answer.entries:
                budget = entry.settlement.budget
                if self._logs.of_budget(budget) is log:
                    log.close(entry.holder, [entry.settlement])
