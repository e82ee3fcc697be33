"""Search for the tokens of one request, source by source."""

import asyncio
from dataclasses import dataclass

from oriolegauge.budget.budgetaccount import BudgetAccount
from oriolegauge.budget.errors import (
    BudgetExhaustedError,
    BudgetUnreachableError,
)
from oriolegauge.budget.reservation import Reservation
from oriolegauge.budget.settler import Settler
from oriolegauge.budget.shardlog import ShardLog
from oriolegauge.budget.tokensource import PEERS_ASKED_MAX, TokenSource

RETRY_AFTER_S = 2.0
"""Retry time of a refusal; idle grants are back in the store by then."""


LAST_ASKED_MAX = 8
"""Holders asked at the same time before a refusal."""

LAST_LOOKS_MAX = 16
"""Requests of one budget that ask all holders at the same time; during a
flood of refusals the others are refused without it."""


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Ask for up to `tokens`, at least `minimum`, before `deadline`."""

    budget: str
    request_id: str
    tokens: int
    minimum: int
    deadline: float


def refusal(budget: str, *, store_down: bool = False) -> BudgetExhaustedError:
    """Return the error for a request that nothing can pay."""
    if store_down:
        return BudgetUnreachableError(
            f'no grant of budget {budget} can pay and the store is down',
            retry_after_s=RETRY_AFTER_S,
        )
    return BudgetExhaustedError(
        f'budget {budget} cannot pay', retry_after_s=RETRY_AFTER_S
    )


class Acquirer:
    """Try the store, peers, a recall, a bounded wait and a smaller cap."""

    def __init__(self, *, source: TokenSource, settler: Settler) -> None:
        """Open the reservations through `settler`."""
        self._source = source
        self._settler = settler

    async def acquire(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation:
        """Try the sources in order; raise BudgetExhaustedError at the end.

        The hub of a scarce budget sees all that is left, so its refusal is
        final. Without an answer of the hub the daemon searches itself.
        """
        found, is_final = await self._ask_hub(account, request)
        if found is None and not is_final:
            if not self._is_pool_short(log, account, request.tokens):
                found = await self._draw(log, account, request)
            if found is None:
                found, is_final = await self._ask_hub(account, request)
        if found is None and not is_final:
            found = await self._search(log, account, request)
        if found is None:
            found = self._take_less(log, account, request)
        if found is None and account.is_exhausted:
            found = await self._ask_all(log, account, request)
        if found is None:
            raise refusal(
                request.budget, store_down=self._source.is_store_down(log)
            )
        return found

    async def acquire_here(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation | None:
        """Reserve in the own grant as the hub of a budget, or return None."""
        if log.may_spend and account.take(request.tokens):
            return self._open(log, request, request.tokens)
        if not self._is_pool_short(log, account, request.tokens):
            found = await self._draw(log, account, request)
            if found is not None:
                return found
        return await self._recall(log, account, request)

    async def _ask_hub(
        self, account: BudgetAccount, request: TokenRequest
    ) -> tuple[Reservation | None, bool]:
        """Return the reservation, and whether the answer is final."""
        hub = self._source.hub(account)
        if hub is None:
            return None, False
        answer = await self._source.ask(
            hub,
            budget=request.budget,
            request_id=request.request_id,
            tokens=request.tokens,
            minimum=request.minimum,
            may_draw=True,
        )
        if answer is None:
            return None, False
        if not answer.tokens:
            return None, account.is_exhausted
        reservation = self._settler.open_remote(
            request.budget, request.request_id, hub, answer
        )
        return reservation, True

    async def _search(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation | None:
        if self._source.is_store_down(log):
            peers = self._source.holders(log, account)
            for minimum in (request.tokens, request.minimum):
                found = await self._ask(peers, request, minimum=minimum)
                if found is not None:
                    return found
            return None
        return await self._recall(log, account, request)

    async def _recall(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation | None:
        """Have free tokens returned, then wait for reserved ones."""
        recalled = await self._source.recall(log, account, request.tokens)
        if recalled.returned or account.free + account.pool >= request.minimum:
            found = await self._draw(log, account, request, request.minimum)
            if found is not None:
                return found
        waiting = sum(waiter.least for waiter in account.waiters)
        if waiting + request.minimum > recalled.reserved + account.reserved:
            return None
        tokens = await self._source.wait_for_return(
            log,
            account,
            request.tokens,
            least=request.minimum,
            deadline=request.deadline,
        )
        return self._open(log, request, tokens) if tokens else None

    def _take_less(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation | None:
        tokens = min(request.tokens, account.free)
        if tokens < request.minimum or not log.may_spend:
            return None
        account.take(tokens)
        return self._open(log, request, tokens)

    async def _draw(
        self,
        log: ShardLog,
        account: BudgetAccount,
        request: TokenRequest,
        least: int | None = None,
    ) -> Reservation | None:
        tokens = await self._source.draw(
            log,
            account,
            request.tokens,
            least=least,
            deadline=request.deadline,
        )
        return self._open(log, request, tokens) if tokens else None

    async def _ask(
        self, peers: list[str], request: TokenRequest, *, minimum: int
    ) -> Reservation | None:
        for peer in peers[:PEERS_ASKED_MAX]:
            answer = await self._source.ask(
                peer,
                budget=request.budget,
                request_id=request.request_id,
                tokens=request.tokens,
                minimum=minimum,
            )
            if answer is not None and answer.tokens:
                return self._settler.open_remote(
                    request.budget, request.request_id, peer, answer
                )
        return None

    async def _ask_all(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation | None:
        """Look for tokens that were freed since the last recall.

        One round trip instead of two store writes makes the last look before
        a refusal as fresh as possible.
        """
        peers = self._source.holders(log, account)[:LAST_ASKED_MAX]
        if account.last_looks >= LAST_LOOKS_MAX:
            return None
        account.last_looks += 1
        try:
            found = await asyncio.gather(
                *(
                    self._ask([peer], request, minimum=request.minimum)
                    for peer in peers
                )
            )
        finally:
            account.last_looks -= 1
        reservations = [one for one in found if one is not None]
        for unused in reservations[1:]:
            self._settler.release(unused)
        return reservations[0] if reservations else None

    def _open(
        self, log: ShardLog, request: TokenRequest, tokens: int
    ) -> Reservation:
        return self._settler.open(
            log, request.budget, request.request_id, tokens
        )

    def _is_pool_short(
        self, log: ShardLog, account: BudgetAccount, tokens: int
    ) -> bool:
        """Return whether a fresh view shows that a draw would fail."""
        return (
            self._source.is_pool_known(log)
            and account.free + account.pool < tokens
        )
