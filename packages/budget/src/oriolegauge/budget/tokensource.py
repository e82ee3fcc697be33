"""Ways to get tokens for a request: store, peers, recall, waiting."""

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
"""Wait for one peer; a round trip between zones takes 3 ms."""

HUB_TIMEOUT_S = 0.4
"""Wait for the hub of a budget, which may wait for returned tokens."""

PEERS_ASKED_MAX = 3
"""Peers asked one after the other for one request."""

DRAW_TIMEOUT_S = 0.5
"""Wait for the store before peers are asked."""

OUTAGE_RETRY_S = 0.5
"""Time after a failed store call during which reservations skip the store."""

POOL_VIEW_MAX_S = 0.05
"""Age of a view of an exhausted pool that is used instead of a new read."""

SILENCE_S = 1.0
"""Time after a call without an answer during which a hub is not asked."""

HUBS_MAX = 50_000
"""Budgets whose hub is remembered until the members change."""

RECALL_PERIOD_S = 0.02
"""Shortest time between two recalls of one budget."""

RETURN_WAIT_S = 0.25
"""Longest wait for reservations to be returned."""

RETURN_POLL_S = 0.02
"""Period of recalls while waiting for reservations to be returned."""


class TokenSource:
    """Get tokens from the store and from the grants of peers."""

    def __init__(
        self,
        *,
        daemon: str,
        process: str,
        peers: BudgetPeers,
        clock: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]],
        abandon: Callable[[str, str], None],
    ) -> None:
        """Act for `process`; `abandon` releases an unanswered reservation."""
        self._daemon = daemon
        self._process = process
        self._peers = peers
        self._clock = clock
        self._spawn = spawn
        self._abandon = abandon
        self._asked = 0
        self._silent: dict[str, float] = {}
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
        """Reserve tokens of the own grant after drawing from the store.

        Return the reserved tokens, at least `least`, or 0.
        """
        now = self._clock()
        waiter = Waiter(tokens, tokens if least is None else least)
        if self.is_store_down(log):
            taken = min(tokens, account.free)
            is_enough = log.may_spend and taken >= waiter.least
            return taken if is_enough and account.take(taken) else 0
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
            account.give_back(waiter)
            raise
        finally:
            account.waiters.remove(waiter)
        if account.exists is False:
            account.give_back(waiter)
            raise BudgetUnknownError(f'no budget {account.name}')
        if not waiter.granted and self.is_pool_known(log):
            account.is_exhausted = True
        return waiter.granted

    def is_store_down(self, log: ShardLog) -> bool:
        """Return whether the last call to the store failed just now."""
        return self._clock() - log.failed_at < OUTAGE_RETRY_S

    def is_pool_known(self, log: ShardLog) -> bool:
        """Return whether the views of the shard's budgets are fresh."""
        return self._clock() - log.read_at < POOL_VIEW_MAX_S

    def sharers(self) -> int:
        """Return the number of live daemons with the own one."""
        return len(self._peers.members()) + 1

    def is_hub(self, budget: str) -> bool:
        """Return whether the own daemon holds what is left when scarce."""
        return self._hub_of(budget) == self._daemon

    def hub(self, account: BudgetAccount) -> str | None:
        """Return the other daemon that has to be asked for tokens."""
        now = self._clock()
        if not (account.is_scarce(now, self.sharers()) or account.is_cold(now)):
            return None
        hub = self._hub_of(account.name)
        is_silent = now - self._silent.get(hub, -SILENCE_S) < SILENCE_S
        return None if is_silent or hub == self._daemon else hub

    def holders(self, log: ShardLog, account: BudgetAccount) -> list[str]:
        """Return live peers, those with the largest known grants first.

        Peers without a grant are left out as long as the view is fresh.
        """
        names = [one.name for one in self._peers.members()]
        grants = dict.fromkeys(names, 0)
        for holder, tokens in account.others.items():
            name = daemon_of(holder)
            if name in grants:
                grants[name] += tokens
        by_rank = rank(f'{account.name}|{self._daemon}', names)
        if self.is_pool_known(log):
            by_rank = [name for name in by_rank if grants[name]]
        return sorted(by_rank, key=lambda name: -grants[name])

    async def ask(
        self,
        peer: str,
        *,
        budget: str,
        request_id: str,
        tokens: int,
        minimum: int,
        may_draw: bool = False,
    ) -> ReserveAnswer | None:
        """Reserve at a peer; return None when it is silent or not serving."""
        self._asked += 1
        message = Reserve(
            reservation_id=f'{self._process}#r{self._asked}',
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
            self._silent[peer] = self._clock()
            return None
        finally:
            if answer is None:
                self._abandon(peer, message.reservation_id)
        return answer if answer.holder else None

    async def recall(
        self, log: ShardLog, account: BudgetAccount, tokens: int
    ) -> Recalled:
        """Have peers return free tokens; concurrent callers share it."""
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
        """Wait for reservations to be returned here or at peers."""
        waiter = Waiter(tokens, least)
        until = min(deadline, self._clock() + RETURN_WAIT_S)
        if len(account.waiters) >= WAITERS_MAX:
            return 0
        account.waiters.append(waiter)
        try:
            while not waiter.granted and self._clock() < until:
                await self._wait_once(log, account, waiter)
        except BaseException:
            account.give_back(waiter)
            raise
        finally:
            account.waiters.remove(waiter)
        return waiter.granted

    def _hub_of(self, budget: str) -> str:
        members = tuple(one.name for one in self._peers.members())
        if members != self._hub_members or len(self._hubs) > HUBS_MAX:
            self._hub_members = members
            self._hubs = {}
            self._silent = {}
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
        """Wait a moment; a recall comes last, so that no refusal skips it."""
        try:
            await asyncio.wait_for(waiter.served.wait(), RETURN_POLL_S)
        except TimeoutError:
            recalled = await self.recall(log, account, waiter.tokens)
            if recalled.returned and not waiter.granted:
                await _write_quietly(log)

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
        peers = self.holders(log, account)
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


async def _write_quietly(log: ShardLog) -> None:
    try:
        await asyncio.wait_for(log.write(), DRAW_TIMEOUT_S)
    except (OriolegaugeError, TimeoutError):
        return
