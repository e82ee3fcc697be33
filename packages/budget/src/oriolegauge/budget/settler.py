"""Settle and release reservations, in the local grant or at a peer.

A bill is copied to peers before the caller gets its result. If the peer that
holds a reservation does not reply, the settlement is retried, or billed here by
request id so that the peer cannot bill it too.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from oriolegauge.budget.budgetpeers import BudgetPeers
from oriolegauge.budget.errors import BudgetUnknownError
from oriolegauge.budget.journalwriter import PEER_ERRORS, JournalWriter
from oriolegauge.budget.messages import (
    DeferredSettle,
    JournalEntry,
    Release,
    ReserveAnswer,
    Settle,
    SettleAnswer,
)
from oriolegauge.budget.outbox import Outbox, PendingSettle
from oriolegauge.budget.reservation import Reservation, Settled
from oriolegauge.budget.shardlog import SPENDING_LEASE_S, ShardLog
from oriolegauge.budget.shardlogs import ShardLogs
from oriolegauge.budget.tokensource import PEER_TIMEOUT_S, TokenSource

OPEN_MAX = 100_000
"""Open reservations in the local grant; further ones are refused."""

REFILL_PERIOD_S = 0.25
"""Shortest time between two writes that refill a half-spent grant."""

WAIT_FOR_CLOSURE_S = 2 * SPENDING_LEASE_S
"""Age at which an unconfirmed settlement is billed from the pool."""


class Settler:
    """Turn reservations into log entries, here or at the peer that pays."""

    def __init__(
        self,
        *,
        process: str,
        logs: ShardLogs,
        peers: BudgetPeers,
        source: TokenSource,
        writer: JournalWriter,
        outbox: Outbox,
        clock: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]],
    ) -> None:
        """Settle on behalf of `process`; `spawn` starts background tasks."""
        self._process = process
        self._logs = logs
        self._peers = peers
        self._source = source
        self._writer = writer
        self._outbox = outbox
        self._clock = clock
        self._spawn = spawn
        self._open: dict[str, Reservation] = {}
        self._opened = 0
        self._refilled_at: dict[str, float] = {}

    @property
    def open_count(self) -> int:
        """Return the number of open reservations in the local grants."""
        return len(self._open)

    @property
    def has_room(self) -> bool:
        """Return whether another reservation may be opened."""
        return len(self._open) < OPEN_MAX

    def open(
        self, log: ShardLog, budget: str, request_id: str, tokens: int
    ) -> Reservation:
        """Return a reservation for tokens that the account has reserved."""
        self._opened += 1
        reservation = Reservation(
            budget=budget,
            request_id=request_id,
            tokens=tokens,
            holder=log.holder,
            reservation_id=f'{self._process}#{self._opened}',
        )
        self._open[reservation.reservation_id] = reservation
        return reservation

    def open_remote(
        self, budget: str, request_id: str, peer: str, answer: ReserveAnswer
    ) -> Reservation:
        """Return a reservation that a peer holds."""
        return Reservation(
            budget=budget,
            request_id=request_id,
            tokens=answer.tokens,
            holder=answer.holder,
            peer=peer,
            reservation_id=answer.reservation_id,
        )

    async def settle(
        self, reservation: Reservation, tokens: int, *, keyed: bool
    ) -> Settled:
        """Bill at most the reservation; return when peers copied the bill."""
        billed = max(0, min(tokens, reservation.tokens))
        if reservation.peer:
            return await self._settle_remote(reservation, billed)
        entry = self.record(reservation, billed, keyed=keyed)
        if entry is not None:
            await self._writer.copy(entry)
        return self.billing_result(reservation.budget, billed if entry else 0)

    def billing_result(self, budget: str, billed: int) -> Settled:
        """Return the billed tokens and those left as of the last read."""
        account = self._logs.account(budget)
        return Settled(billed, max(0, account.left - account.unflushed))

    def record(
        self, reservation: Reservation, tokens: int, *, keyed: bool
    ) -> JournalEntry | None:
        """Append the bill to the log; return None if it was settled before.

        If the holder of the reservation was closed, its grant is gone, and
        the bill is paid from free tokens of the new grant or from the pool.
        """
        if self._open.pop(reservation.reservation_id, None) is None:
            return None
        log = self._logs.of_budget(reservation.budget)
        account = log.account(reservation.budget)
        if reservation.holder == log.holder:
            account.reserved -= reservation.tokens
        entry = self.bill(
            log, reservation.budget, reservation.request_id, tokens, keyed=keyed
        )
        account.serve_waiters()
        return entry

    def bill(
        self,
        log: ShardLog,
        budget: str,
        request_id: str,
        tokens: int,
        *,
        keyed: bool,
    ) -> JournalEntry:
        """Append a bill, paid from the grant if enough is free, or the pool."""
        account = log.account(budget)
        settlement = log.append(
            budget=budget,
            request_id=request_id,
            tokens=tokens,
            keyed=keyed,
            pooled=account.free < tokens,
        )
        if 2 * account.unflushed >= account.granted and account.pool > 0:
            self._refill(log)
        return JournalEntry(log.holder, settlement)

    def release(self, reservation: Reservation) -> None:
        """Free a reservation without a bill; repeated calls do nothing."""
        if reservation.peer:
            self.release_at_peer(reservation.peer, reservation.reservation_id)
            return
        if self._open.pop(reservation.reservation_id, None) is None:
            return
        log = self._logs.of_budget(reservation.budget)
        if reservation.holder == log.holder:
            account = log.account(reservation.budget)
            account.reserved -= reservation.tokens
            account.serve_waiters()

    def release_at_peer(self, peer: str, reservation_id: str) -> None:
        """Release a reservation at a peer; retry until it confirms."""
        release = Release(reservation_id, self._process)
        self._outbox.add_release(peer, release)
        self._spawn(self._send_release(peer, release))

    async def resend_outbox(self, *, final: bool = False) -> None:
        """Resend what peers have not confirmed.

        With `final`, settlements that stay unconfirmed are billed here.
        """
        await asyncio.gather(
            *(
                self._send_release(peer, release)
                for peer, release in self._outbox.releases
            ),
            *(
                self._settle_deferred(pending, final=final)
                for pending in self._outbox.settles
            ),
        )

    def take_over_settlement(self, deferred: DeferredSettle) -> None:
        """Retry an unconfirmed settlement of a dead daemon from here."""
        self._outbox.add_settle(deferred, self._clock())

    async def _settle_remote(
        self, reservation: Reservation, billed: int
    ) -> Settled:
        settle = Settle(
            reservation_id=reservation.reservation_id,
            asker=self._process,
            budget=reservation.budget,
            request_id=reservation.request_id,
            tokens=billed,
        )
        answer = await self._send_settle(reservation.peer, settle)
        if answer is not None and answer.accepted:
            return Settled(answer.billed, answer.left)
        deferred = DeferredSettle(settle, reservation.peer, reservation.holder)
        self._outbox.add_settle(deferred, self._clock())
        await self._writer.copy(deferred)
        if not self._outbox.has_room:
            pending = PendingSettle(deferred, self._clock())
            await self._settle_deferred(pending, final=True)
        return self.billing_result(reservation.budget, billed)

    async def _settle_deferred(
        self, pending: PendingSettle, *, final: bool
    ) -> None:
        settle = pending.deferred.settle
        answer = None
        if pending.deferred.peer in self._live():
            answer = await self._send_settle(pending.deferred.peer, settle)
        is_done = answer is not None and answer.accepted
        if not is_done:
            is_done = await self._settle_here(pending, final=final)
        if not is_done:
            return
        self._outbox.confirm_settle(settle.reservation_id)
        await self._writer.announce(resolved=(settle.reservation_id,))

    async def _settle_here(
        self, pending: PendingSettle, *, final: bool
    ) -> bool:
        """Bill on this side; keyed, as the peer may have billed it too."""
        settle = pending.deferred.settle
        log = self._logs.of_budget(settle.budget)
        account = log.account(settle.budget)
        try:
            drawn = await self._source.draw(
                log,
                account,
                settle.tokens,
                deadline=self._clock() + PEER_TIMEOUT_S,
            )
        except BudgetUnknownError:
            return True
        if drawn:
            account.reserved -= drawn
        elif not (final or self._is_overdue(log, pending)):
            return False
        entry = self.bill(
            log, settle.budget, settle.request_id, settle.tokens, keyed=True
        )
        await self._writer.copy(entry)
        return True

    def _is_overdue(self, log: ShardLog, pending: PendingSettle) -> bool:
        """Return whether the holder is closed or the wait for it is over."""
        if self._clock() - pending.since > WAIT_FOR_CLOSURE_S:
            return True
        stored = log.stored
        if stored is None or log.read_at < pending.since:
            return False
        return pending.deferred.holder not in stored.value['positions']

    async def _send_settle(
        self, peer: str, settle: Settle
    ) -> SettleAnswer | None:
        try:
            return await asyncio.wait_for(
                self._peers.settle(peer, settle), 2 * PEER_TIMEOUT_S
            )
        except PEER_ERRORS:
            return None

    async def _send_release(self, peer: str, release: Release) -> None:
        try:
            answer = await asyncio.wait_for(
                self._peers.release(peer, release), PEER_TIMEOUT_S
            )
        except PEER_ERRORS:
            return
        if answer.accepted:
            self._outbox.confirm_release(release.reservation_id)

    def _live(self) -> set[str]:
        return {one.name for one in self._peers.members()}

    def _refill(self, log: ShardLog) -> None:
        now = self._clock()
        if (
            now - self._refilled_at.get(log.key, float('-inf'))
            >= REFILL_PERIOD_S
        ):
            self._refilled_at[log.key] = now
            self._spawn(log.write())
