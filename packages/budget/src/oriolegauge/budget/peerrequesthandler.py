"""Handle budget messages of other daemons.

Peers reserve here in a store outage, or when a budget is scarce or rarely used.
Messages may arrive repeated, late or out of order.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from oriolegauge.budget.acquirer import Acquirer, TokenRequest
from oriolegauge.budget.budgetaccount import BudgetAccount
from oriolegauge.budget.errors import BudgetUnknownError
from oriolegauge.budget.fleetview import FleetView
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
from oriolegauge.budget.remotereservations import Outcome, RemoteReservations
from oriolegauge.budget.reservation import Reservation
from oriolegauge.budget.settler import Settler
from oriolegauge.budget.shardlog import ShardLog
from oriolegauge.budget.shardlogs import ShardLogs
from oriolegauge.budget.tokensource import HUB_TIMEOUT_S, PEER_TIMEOUT_S
from oriolegauge.core.errors import OriolegaugeError


class PeerRequestHandler:
    """Reserve, bill and release for peers, and store their journal copies."""

    def __init__(
        self,
        *,
        logs: ShardLogs,
        settler: Settler,
        acquirer: Acquirer,
        writer: JournalWriter,
        journal: Journal,
        fleet: FleetView,
        clock: Callable[[], float],
    ) -> None:
        """Reserve and bill through the local shard logs."""
        self._logs = logs
        self._settler = settler
        self._acquirer = acquirer
        self._writer = writer
        self._journal = journal
        self._fleet = fleet
        self._clock = clock
        self.reservations = RemoteReservations(release=settler.release)
        self.is_closing = False

    async def reserve(self, message: Reserve) -> ReserveAnswer:
        """Reserve tokens of the local grant for a peer."""
        known = self._known_answer(message)
        if known is not None:
            return known
        log = self._logs.of_budget(message.budget)
        account = log.account(message.budget)
        if message.may_draw:
            reservation = await self._acquire(log, account, message)
        else:
            reservation = self._reserve_free(log, account, message)
        known = self._known_answer(message)
        if known is not None:
            if reservation is not None:
                self._settler.release(reservation)
            return known
        if reservation is None:
            return ReserveAnswer(message.reservation_id, 0, log.holder)
        self.reservations.hold(message, reservation, self._clock())
        return ReserveAnswer(
            message.reservation_id, reservation.tokens, reservation.holder
        )

    async def settle(self, message: Settle) -> SettleAnswer:
        """Bill a remote reservation once; answer when peers copied the bill."""
        outcome = self.reservations.outcome(message.reservation_id)
        if outcome is None or outcome.answer is None:
            outcome = self._bill(message)
        if outcome.entry is not None:
            await self._writer.copy(outcome.entry)
        return outcome.answer or SettleAnswer(
            message.reservation_id, accepted=False
        )

    def release(self, message: Release) -> Ack:
        """Free a remote reservation; it is refused if it arrives later."""
        self.reservations.release(message.reservation_id)
        return Ack()

    async def recall(self, message: Recall) -> RecallAnswer:
        """Return free tokens of the local grant to the store."""
        log = self._logs.of_budget(message.budget)
        account = log.accounts.get(message.budget)
        if account is None:
            return RecallAnswer(message.budget, 0, 0)
        before = account.returned
        account.recalled = account.recallable(
            message.tokens, self._clock(), self._fleet.daemon_count()
        )
        if account.recalled:
            with suppress(OriolegaugeError, TimeoutError):
                await asyncio.wait_for(log.write(), PEER_TIMEOUT_S)
        account.recalled = 0
        returned = account.returned - before
        return RecallAnswer(message.budget, returned, account.reserved)

    def append_journal(self, message: JournalAppend) -> Ack:
        """Store copies of a peer's entries."""
        return Ack(self._journal.append(message, self._clock()))

    def query_journal(self, message: JournalQuery) -> JournalAnswer:
        """Return the copied entries of a process."""
        return self._journal.query(message.origin)

    def _known_answer(self, message: Reserve) -> ReserveAnswer | None:
        """Return the answer to a message that is repeated or refused."""
        held = self.reservations.held(message.reservation_id)
        if held is not None:
            return ReserveAnswer(
                message.reservation_id, held.tokens, held.holder
            )
        finished = self.reservations.outcome(message.reservation_id)
        is_refused = (
            finished is not None
            or self.is_closing
            or not self.reservations.has_room
            or not self._settler.has_room
            or not self._logs.has_room
        )
        if is_refused:
            return ReserveAnswer(message.reservation_id, 0, '')
        return None

    def _reserve_free(
        self, log: ShardLog, account: BudgetAccount, message: Reserve
    ) -> Reservation | None:
        tokens = min(message.tokens, account.free)
        if tokens < message.minimum or not log.may_spend:
            return None
        account.try_reserve(tokens)
        return self._settler.open(
            log, message.budget, message.request_id, tokens
        )

    async def _acquire(
        self, log: ShardLog, account: BudgetAccount, message: Reserve
    ) -> Reservation | None:
        """Reserve as the hub of the budget."""
        account.demand.note(message.tokens, self._clock())
        request = TokenRequest(
            message.budget,
            message.request_id,
            message.tokens,
            message.minimum,
            self._clock() + HUB_TIMEOUT_S,
        )
        try:
            return await self._acquirer.acquire_as_hub(log, account, request)
        except BudgetUnknownError:
            return None

    def _bill(self, message: Settle) -> Outcome:
        """Bill a held reservation, or an unknown one from free tokens.

        An unknown reservation was released because its asker seemed to have
        crashed, or it was held before a restart of this daemon. Its request id
        prevents a second bill.
        """
        log = self._logs.of_budget(message.budget)
        account = log.account(message.budget)
        held = self.reservations.held(message.reservation_id)
        entry: JournalEntry | None = None
        if held is not None:
            tokens = min(message.tokens, held.tokens)
            entry = self._settler.record(held, tokens, keyed=True)
        elif log.may_spend and 0 < message.tokens <= account.free:
            entry = self._settler.bill(
                log,
                message.budget,
                message.request_id,
                message.tokens,
                keyed=True,
            )
        if entry is None:
            return Outcome()
        settled = self._settler.billing_result(
            message.budget, entry.settlement.tokens
        )
        outcome = Outcome(
            SettleAnswer(
                message.reservation_id, True, settled.billed, settled.left
            ),
            entry,
        )
        self.reservations.finish(message.reservation_id, outcome)
        return outcome
