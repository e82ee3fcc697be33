"""Reserve and settle prepaid tokens against grants from the store.

Most requests are paid from the local grant without a call to the store. Peers
have copies of the settlements, in case this process crashes before a write.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

from oriolegauge.budget.acquirer import Acquirer, TokenRequest, refusal
from oriolegauge.budget.budgetpeers import BudgetPeers, NoBudgetPeers
from oriolegauge.budget.errors import BudgetUnknownError
from oriolegauge.budget.holdercloser import HolderCloser
from oriolegauge.budget.holdername import daemon_of, process_of
from oriolegauge.budget.journal import Journal
from oriolegauge.budget.journalwriter import JournalWriter
from oriolegauge.budget.messages import (
    Ack,
    JournalAnswer,
    JournalAppend,
    JournalEntry,
    JournalQuery,
    Recall,
    RecallAnswer,
    Release,
    Reserve,
    ReserveAnswer,
    Settle,
    SettleAnswer,
)
from oriolegauge.budget.outbox import Outbox
from oriolegauge.budget.peerrequesthandler import PeerRequestHandler
from oriolegauge.budget.reservation import Reservation, Settled
from oriolegauge.budget.settler import Settler
from oriolegauge.budget.shardlog import ShardLog
from oriolegauge.budget.shardlogs import ShardLogs
from oriolegauge.budget.tokensource import TokenSource
from oriolegauge.core.errors import DrainingError, OriolegaugeError
from oriolegauge.objectstore import ObjectStore, StoreError

REMOTE_DRAIN_S = 30.0
"""Longest time that a drain waits for reservations of other daemons."""

DRAIN_POLL_S = 0.05

WRITES_AT_ONCE = 16
"""Shards that one flush writes at the same time."""


class BudgetManager:
    """Hold this daemon's grants, bill requests and serve other daemons.

    No call spends more than the grant in the store, so the settled tokens of
    a budget never exceed the prepaid ones, even if messages, store answers or
    processes are lost or delayed.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        holder: str,
        shard_count: int,
        clock: Callable[[], float],
        peers: BudgetPeers | None = None,
        zone: str = '',
        rng: random.Random | None = None,
    ) -> None:
        """Act as `holder`, named `<daemon>/<incarnation>`, in all shards.

        `clock` is in seconds and does not stop while the process is paused.
        """
        self._clock = clock
        self._holder = holder
        self._peers = peers or NoBudgetPeers()
        self._is_draining = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._floors: dict[str, int] = {}
        self._short_of_copies = 0
        self._journal = Journal(shard_count=shard_count)
        self._outbox = Outbox()
        self._source = TokenSource(
            daemon=daemon_of(holder),
            process=holder,
            peers=self._peers,
            clock=clock,
            spawn=self._spawn,
            release_at_peer=self._release_at_peer,
        )
        self._logs = ShardLogs(
            store=store,
            process=holder,
            shard_count=shard_count,
            clock=clock,
            rng=rng or random.Random(holder),
            fleet=self._source,
            on_read=self._on_read,
        )
        self._writer = JournalWriter(
            origin=holder,
            zone=zone,
            peers=self._peers,
            floors=self._logs.floors,
        )
        self._settler = Settler(
            process=holder,
            logs=self._logs,
            peers=self._peers,
            source=self._source,
            writer=self._writer,
            outbox=self._outbox,
            clock=clock,
            spawn=self._spawn,
        )
        self._acquirer = Acquirer(source=self._source, settler=self._settler)
        self._remote = PeerRequestHandler(
            logs=self._logs,
            settler=self._settler,
            acquirer=self._acquirer,
            writer=self._writer,
            journal=self._journal,
            fleet=self._source,
            clock=clock,
        )
        self._closer = HolderCloser(
            daemon=daemon_of(holder),
            process=holder,
            logs=self._logs,
            peers=self._peers,
            journal=self._journal,
            clock=clock,
            take_over_settlement=self._settler.take_over_settlement,
        )

    async def reserve(
        self,
        *,
        budget: str,
        request_id: str,
        tokens: int,
        minimum: int,
        deadline: float,
    ) -> Reservation:
        """Reserve up to `tokens`, at least `minimum`, before `deadline`.

        Raise BudgetExhaustedError if no source has enough tokens,
        BudgetUnknownError, or DrainingError after a drain has begun.
        """
        if self._is_draining:
            raise DrainingError('budget manager is draining')
        log = self._logs.of_budget(budget)
        account = log.account(budget)
        account.demand.note(tokens, self._clock())
        if log.may_spend and account.try_reserve(tokens):
            return self._settler.open(log, budget, request_id, tokens)
        if not (self._logs.has_room and self._settler.has_room):
            raise refusal(budget)
        request = TokenRequest(budget, request_id, tokens, minimum, deadline)
        try:
            async with asyncio.timeout(max(0, deadline - self._clock())):
                return await self._acquirer.acquire(log, account, request)
        except TimeoutError:
            raise refusal(budget) from None
        except BudgetUnknownError:
            if account.is_idle:
                log.accounts.pop(budget, None)
            raise

    async def settle(
        self, reservation: Reservation, tokens: int, *, keyed: bool
    ) -> Settled:
        """Bill `tokens`, at most the reservation, and free the rest.

        Return when peers have copied the bill or timed out. A second
        settlement of the same reservation bills nothing.
        """
        return await self._settler.settle(reservation, tokens, keyed=keyed)

    def release(self, reservation: Reservation) -> None:
        """Free a reservation that is not billed."""
        self._settler.release(reservation)

    async def flush(self, *, due_only: bool = False) -> None:
        """Write all log entries and grant adjustments to the store.

        With `due_only`, entries that two peers have copied are held back for
        up to 10 s, so that one write carries many. Raise StoreError if the
        store is unavailable.
        """
        short_of_copies = self._writer.short_of_copies
        if short_of_copies != self._short_of_copies:
            self._short_of_copies = short_of_copies
            due_only = False
        await self._settler.resend_outbox()
        await self._closer.close_pending()
        self._remote.reservations.release_expired(self._clock())
        try:
            await self._write(
                [
                    log
                    for log in self._logs.opened
                    if (log.is_due if due_only else log.is_dirty)
                ]
            )
        finally:
            self._logs.drop_idle_accounts()
            self._announce_floors()

    async def close_process_holders(
        self, holder: str, *, has_failure_proof: bool = True
    ) -> bool:
        """Close all holders of a dead process; return whether it is done.

        Each flush retries shards that the store could not close. Without a
        failure proof a holder is closed after 900 s without a write of it in
        the store.
        """
        process = process_of(holder)
        if has_failure_proof:
            self._remote.reservations.release_all_of(process)
        self._closer.add(process, has_failure_proof=has_failure_proof)
        await self._closer.close_pending()
        return process not in self._closer.pending

    async def drain(self) -> None:
        """Return all grants and close the own holder.

        All local requests have to be finished. If the store is unavailable,
        peers get the unwritten entries and are told to close the holder.
        """
        self._is_draining = True
        self._remote.is_closing = True
        until = self._clock() + REMOTE_DRAIN_S
        while self._remote.reservations.count and self._clock() < until:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._settler.resend_outbox(final=True)
        finished = await asyncio.gather(
            *(log.finish() for log in self._logs.opened),
            return_exceptions=True,
        )
        if any(isinstance(one, StoreError) for one in finished):
            await self._hand_over_log()

    def state(self) -> dict[str, Any]:
        """Return grants and counts for diagnosis; amounts are in tokens."""
        return {
            'holder': self._holder,
            'draining': self._is_draining,
            'open_reservations': self._settler.open_count,
            'remote_reservations': self._remote.reservations.count,
            'journal_copies': self._journal.count,
            'short_of_copies': self._writer.short_of_copies,
            'unconfirmed_settlements': len(self._outbox.settles),
            'unconfirmed_releases': len(self._outbox.releases),
            'closing': self._closer.pending,
            'shards': self._logs.state(),
        }

    def other_holders(self, budget: str) -> frozenset[str]:
        """Return other daemons with a grant at the last read of the shard."""
        account = self._logs.of_budget(budget).accounts.get(budget)
        if account is None:
            return frozenset()
        return frozenset(
            daemon_of(holder)
            for holder, tokens in account.other_grants.items()
            if tokens
        )

    async def handle_reserve(self, message: Reserve) -> ReserveAnswer:
        """Reserve tokens of the local grant for a peer."""
        return await self._remote.reserve(message)

    async def handle_settle(self, message: Settle) -> SettleAnswer:
        """Bill a reservation that was made for a peer."""
        return await self._remote.settle(message)

    async def handle_release(self, message: Release) -> Ack:
        """Free a reservation that was made for a peer."""
        return self._remote.release(message)

    async def handle_recall(self, message: Recall) -> RecallAnswer:
        """Return free tokens to the store."""
        return await self._remote.recall(message)

    async def handle_journal_append(self, message: JournalAppend) -> Ack:
        """Store copies of a peer's entries; close a peer that shuts down."""
        if message.closing:
            self._closer.add(
                message.origin, has_failure_proof=True, in_all_shards=True
            )
        return self._remote.append_journal(message)

    async def handle_journal_query(
        self, message: JournalQuery
    ) -> JournalAnswer:
        """Return the copied entries of a process."""
        return self._remote.query_journal(message)

    async def _write(self, logs: Iterable[ShardLog]) -> None:
        """Write all logs, then raise the first error, if any."""
        limit = asyncio.Semaphore(WRITES_AT_ONCE)
        outcomes = await asyncio.gather(
            *(self._write_one(log, limit) for log in logs)
        )
        for error in outcomes:
            if error is not None:
                raise error

    async def _write_one(
        self, log: ShardLog, limit: asyncio.Semaphore
    ) -> OriolegaugeError | None:
        async with limit:
            try:
                await log.write()
            except OriolegaugeError as error:
                return error
        return None

    async def _hand_over_log(self) -> None:
        """Copy unwritten entries to peers and ask them to close the holder."""
        entries = [
            JournalEntry(log.holder, entry)
            for log in self._logs.opened
            for entry in log.entries
        ]
        await asyncio.gather(*(self._writer.copy(entry) for entry in entries))
        await self._writer.announce(closing=True)

    def _on_read(self, key: str, shard: Mapping[str, Any]) -> None:
        log = self._logs.of_key(key)
        for holder, late in self._journal.reconcile(key, shard).items():
            log.close(holder, late)
        self._closer.close_late_writers(log, shard)

    def _announce_floors(self) -> None:
        """Tell peers which entries the store has, so they drop the copies."""
        confirmed = {
            log.key: log.confirmed for log in self._logs.opened if log.confirmed
        }
        if confirmed != self._floors:
            self._floors = confirmed
            holders = [log.holder for log in self._logs.opened]
            floors = self._logs.floors(holders)
            self._spawn(self._writer.announce(floors=floors))

    def _release_at_peer(self, peer: str, reservation_id: str) -> None:
        self._settler.release_at_peer(peer, reservation_id)

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a background task; each caller limits how many it starts."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()
