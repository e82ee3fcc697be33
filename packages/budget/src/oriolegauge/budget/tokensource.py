"""Get tokens for a request that the local grant cannot pay.

The sources are the store, the grants of peers, and tokens that are returned
while the request waits. This matters when a budget is almost spent and when
the store is unavailable.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from oriolegauge.budget.budgetaccount import (
    WAITERS_MAX,
    BudgetAccount,
    Recalled,
    Waiter,
)
from oriolegauge.budget.budgetpeers import BudgetPeers
from oriolegauge.budget.errors import BudgetUnknownError
from oriolegauge.budget.holdername import daemon_of
from oriolegauge.budget.journalwriter import PEER_ERRORS
from oriolegauge.budget.messages import (
    Recall,
    RecallAnswer,
    Reserve,
    ReserveAnswer,
)
from oriolegauge.budget.shardlog import ShardLog
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.rendezvous import first, rank

PEER_TIMEOUT_S = 0.1
"""Timeout of a call to a peer; a round trip between zones takes 3 ms."""

HUB_TIMEOUT_S = 0.4
"""Timeout of a call to a budget's hub, which may wait for returned tokens."""

PEERS_TRIED_MAX = 3
"""Peers that one request asks for tokens, one after the other."""

DRAW_TIMEOUT_S = 0.5
"""Timeout of a draw from the store; after it peers are asked."""

OUTAGE_RETRY_S = 0.5
"""Time after a failed store call during which reservations skip the store."""

POOL_VIEW_MAX_S = 0.05
"""Age up to which the last read of a pool replaces a new read."""

HUB_BACKOFF_S = 1.0
"""Time after a failed call during which a peer is not asked as the hub."""

HUBS_MAX = 50_000
"""Budgets in the cache of hubs, which is also cleared by a new member list."""

RECALL_PERIOD_S = 0.02
"""Shortest pause between two recalls of one budget."""

RETURN_WAIT_S = 0.25
"""Longest time that a request waits for tokens of other requests."""

RETURN_POLL_S = 0.02
"""Time that a waiting request lets pass before the next recall."""


class TokenSource:
    """Get tokens from the store and from the grants of peers.

    The hub of a budget is the daemon that rendezvous hashing picks to hold
    the remaining tokens of a scarce budget.
    """

    def __init__(
        self,
        *,
        daemon: str,
        process: str,
        peers: BudgetPeers,
        clock: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]],
        release_at_peer: Callable[[str, str], None],
    ) -> None:
        """Act for `process`.

        `release_at_peer` frees a reservation whose reply was lost.
        """
        self._daemon = daemon
        self._process = process
        self._peers = peers
        self._clock = clock
        self._spawn = spawn
        self._release_at_peer = release_at_peer
        self._reserve_calls = 0
        self._unresponsive_at: dict[str, float] = {}
        self._hubs: dict[str, str] = {}
        self._hub_members: tuple[str, ...] = ()

    async def draw(
        self,
        log: ShardLog,
        account: BudgetAccount,
        tokens: int,
        *,
        least: int | None = None,
        deadline: float,
    ) -> int:
        """Draw tokens from the store and reserve them in the local grant.

        Return the reserved tokens, at least `least` (by default all), or 0.
        Raise BudgetUnknownError if the store has no such budget.
        """
        now = self._clock()
        waiter = Waiter(tokens, tokens if least is None else least)
        if self.is_store_unavailable(log):
            taken = min(tokens, account.free)
            is_enough = log.may_spend and taken >= waiter.least
            return taken if is_enough and account.try_reserve(taken) else 0
        if len(account.waiters) >= WAITERS_MAX:
            return 0
        account.waiters.append(waiter)
        try:
            await asyncio.wait_for(
                log.write(), max(0, min(DRAW_TIMEOUT_S, deadline - now))
            )
        except (OriolegaugeError, TimeoutError):
            pass
        except BaseException:
            account.cancel_waiter(waiter)
            raise
        finally:
            account.waiters.remove(waiter)
        if account.exists is False:
            account.cancel_waiter(waiter)
            raise BudgetUnknownError(f'no budget {account.name}')
        if not waiter.granted and self.is_pool_view_fresh(log):
            account.is_exhausted = True
        return waiter.granted

    def is_store_unavailable(self, log: ShardLog) -> bool:
        """Return whether a call to the store failed in the last 0.5 s."""
        return self._clock() - log.failed_at < OUTAGE_RETRY_S

    def is_pool_view_fresh(self, log: ShardLog) -> bool:
        """Return whether the last read of the shard is less than 50 ms old."""
        return self._clock() - log.read_at < POOL_VIEW_MAX_S

    def daemon_count(self) -> int:
        """Return the number of live daemons, including this one."""
        return len(self._peers.members()) + 1

    def is_hub(self, budget: str) -> bool:
        """Return whether this daemon is the hub of the budget."""
        return self._hub_of(budget) == self._daemon

    def hub(self, account: BudgetAccount) -> str | None:
        """Return the hub to ask for tokens, if it is a responsive peer.

        Only scarce and rarely used budgets are reserved at their hub.
        """
        now = self._clock()
        if not (
            account.is_scarce(now, self.daemon_count()) or account.is_cold(now)
        ):
            return None
        hub = self._hub_of(account.name)
        is_unresponsive = (
            now - self._unresponsive_at.get(hub, -HUB_BACKOFF_S) < HUB_BACKOFF_S
        )
        return None if is_unresponsive or hub == self._daemon else hub

    def peers_by_grant(
        self, log: ShardLog, account: BudgetAccount
    ) -> list[str]:
        """Return live peers, largest known grants first.

        Peers without a grant are left out if the shard was read recently.
        """
        names = [one.name for one in self._peers.members()]
        grants = dict.fromkeys(names, 0)
        for holder, tokens in account.other_grants.items():
            name = daemon_of(holder)
            if name in grants:
                grants[name] += tokens
        by_rank = rank(f'{account.name}|{self._daemon}', names)
        if self.is_pool_view_fresh(log):
            by_rank = [name for name in by_rank if grants[name]]
        return sorted(by_rank, key=lambda name: -grants[name])

    async def reserve_at_peer(
        self,
        peer: str,
        *,
        budget: str,
        request_id: str,
        tokens: int,
        minimum: int,
        may_draw: bool = False,
    ) -> ReserveAnswer | None:
        """Reserve at a peer; return None if it does not reply or serve."""
        self._reserve_calls += 1
        message = Reserve(
            reservation_id=f'{self._process}#r{self._reserve_calls}',
            asker=self._process,
            budget=budget,
            request_id=request_id,
            tokens=tokens,
            minimum=minimum,
            may_draw=may_draw,
        )
        answer = None
        try:
            answer = await asyncio.wait_for(
                self._peers.reserve(peer, message),
                HUB_TIMEOUT_S if may_draw else PEER_TIMEOUT_S,
            )
        except PEER_ERRORS:
            self._unresponsive_at[peer] = self._clock()
            return None
        finally:
            if answer is None:
                self._release_at_peer(peer, message.reservation_id)
        return answer if answer.holder else None

    async def recall(
        self, log: ShardLog, account: BudgetAccount, tokens: int
    ) -> Recalled:
        """Have peers return free tokens; concurrent callers share a recall."""
        if account.recall is None:
            account.recall = self._spawn(self._recall(log, account, tokens))
        return await asyncio.shield(account.recall)

    async def wait_for_return(
        self,
        log: ShardLog,
        account: BudgetAccount,
        tokens: int,
        *,
        least: int,
        deadline: float,
    ) -> int:
        """Wait until other requests return tokens, here or at peers.

        Return the reserved tokens, at least `least`, or 0 after the timeout.
        """
        waiter = Waiter(tokens, least)
        until = min(deadline, self._clock() + RETURN_WAIT_S)
        if len(account.waiters) >= WAITERS_MAX:
            return 0
        account.waiters.append(waiter)
        try:
            while not waiter.granted and self._clock() < until:
                await self._wait_once(log, account, waiter)
        except BaseException:
            account.cancel_waiter(waiter)
            raise
        finally:
            account.waiters.remove(waiter)
        return waiter.granted

    def _hub_of(self, budget: str) -> str:
        members = tuple(one.name for one in self._peers.members())
        if members != self._hub_members or len(self._hubs) > HUBS_MAX:
            self._hub_members = members
            self._hubs = {}
            self._unresponsive_at = {}
        if budget not in self._hubs:
            hub = first(budget, [*members, self._daemon])
            self._hubs[budget] = hub or self._daemon
        return self._hubs[budget]

    async def _wait_once(
        self,
        log: ShardLog,
        account: BudgetAccount,
        waiter: Waiter,
    ) -> None:
        """Wait for one period, then recall tokens from peers.

        The recall comes last, so that it precedes every refusal.
        """
        try:
            await asyncio.wait_for(waiter.served.wait(), RETURN_POLL_S)
        except TimeoutError:
            recalled = await self.recall(log, account, waiter.tokens)
            if recalled.returned and not waiter.granted:
                await _write_ignoring_errors(log)

    async def _recall(
        self, log: ShardLog, account: BudgetAccount, tokens: int
    ) -> Recalled:
        try:
            pause = account.recalled_at + RECALL_PERIOD_S - self._clock()
            if pause > 0:
                await asyncio.sleep(pause)
            return await self._recall_now(log, account, tokens)
        finally:
            account.recall = None
            account.recalled_at = self._clock()

    async def _recall_now(
        self, log: ShardLog, account: BudgetAccount, tokens: int
    ) -> Recalled:
        wanted = sum(waiter.tokens for waiter in account.waiters)
        message = Recall(account.name, self._process, max(tokens, wanted))
        peers = self.peers_by_grant(log, account)
        answers = await asyncio.gather(
            *(self._recall_from(peer, message) for peer in peers)
        )
        return Recalled(
            sum(answer.returned for answer in answers),
            sum(answer.reserved for answer in answers),
        )

    async def _recall_from(self, peer: str, message: Recall) -> RecallAnswer:
        try:
            return await asyncio.wait_for(
                self._peers.recall(peer, message), PEER_TIMEOUT_S
            )
        except PEER_ERRORS:
            return RecallAnswer(message.budget, 0, 0)


async def _write_ignoring_errors(log: ShardLog) -> None:
    try:
        await asyncio.wait_for(log.write(), DRAW_TIMEOUT_S)
    except (OriolegaugeError, TimeoutError):
        return
