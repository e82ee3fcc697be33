"""Find tokens for one request when the local grant is too small.

The sources are the hub of the budget, the store, peers, and tokens that other
requests return. This matters when a budget is almost spent and in an outage of
the store.
"""

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
from oriolegauge.budget.tokensource import PEERS_TRIED_MAX, TokenSource

RETRY_AFTER_S = 2.0
"""`Retry-After` of a refusal; idle grants are back in the store by then."""

FINAL_QUERY_PEERS_MAX = 8
"""Peers that one request asks at the same time before it is refused."""

FINAL_QUERIES_MAX = 16
"""Requests of one budget that may ask all holders at the same time.

Under many refusals this bounds the calls; other requests are refused at once.
"""


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Request up to `tokens`, at least `minimum`, before `deadline`."""

    budget: str
    request_id: str
    tokens: int
    minimum: int
    deadline: float


def refusal(
    budget: str, *, store_unavailable: bool = False
) -> BudgetExhaustedError:
    """Return the error for a request that no source of tokens can pay."""
    if store_unavailable:
        return BudgetUnreachableError(
            f'store unavailable and no grant of budget {budget} can pay',
            retry_after_s=RETRY_AFTER_S,
        )
    return BudgetExhaustedError(
        f'budget {budget} cannot pay', retry_after_s=RETRY_AFTER_S
    )


class Acquirer:
    """Try the hub, the store, a recall, a bounded wait and a smaller cap."""

    def __init__(self, *, source: TokenSource, settler: Settler) -> None:
        """Register the reservations with `settler`."""
        self._source = source
        self._settler = settler

    async def acquire(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation:
        """Try the sources in order; raise BudgetExhaustedError if all fail.

        The hub of a scarce budget holds all remaining tokens, so its refusal
        is final. If the hub does not reply, the other sources are tried.
        """
        found, is_final = await self._reserve_at_hub(account, request)
        if found is None and not is_final:
            if not self._is_pool_short(log, account, request.tokens):
                found = await self._draw(log, account, request)
            if found is None:
                found, is_final = await self._reserve_at_hub(account, request)
        if found is None and not is_final:
            found = await self._search(log, account, request)
        if found is None:
            found = self._reserve_less(log, account, request)
        if found is None and account.is_exhausted:
            found = await self._reserve_at_all_holders(log, account, request)
        if found is None:
            raise refusal(
                request.budget,
                store_unavailable=self._source.is_store_unavailable(log),
            )
        return found

    async def acquire_as_hub(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation | None:
        """Reserve in the local grant as the hub of a budget, or return None."""
        if log.may_spend and account.try_reserve(request.tokens):
            return self._open(log, request, request.tokens)
        if not self._is_pool_short(log, account, request.tokens):
            found = await self._draw(log, account, request)
            if found is not None:
                return found
        return await self._recall(log, account, request)

    async def _reserve_at_hub(
        self, account: BudgetAccount, request: TokenRequest
    ) -> tuple[Reservation | None, bool]:
        """Return the reservation, and whether the hub's answer is final."""
        hub = self._source.hub(account)
        if hub is None:
            return None, False
        answer = await self._source.reserve_at_peer(
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
        if self._source.is_store_unavailable(log):
            peers = self._source.peers_by_grant(log, account)
            for minimum in (request.tokens, request.minimum):
                found = await self._reserve_at_peers(
                    peers, request, minimum=minimum
                )
                if found is not None:
                    return found
            return None
        return await self._recall(log, account, request)

    async def _recall(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation | None:
        """Recall free tokens from peers, then wait for reserved ones."""
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

    def _reserve_less(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation | None:
        tokens = min(request.tokens, account.free)
        if tokens < request.minimum or not log.may_spend:
            return None
        account.try_reserve(tokens)
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

    async def _reserve_at_peers(
        self, peers: list[str], request: TokenRequest, *, minimum: int
    ) -> Reservation | None:
        for peer in peers[:PEERS_TRIED_MAX]:
            answer = await self._source.reserve_at_peer(
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

    async def _reserve_at_all_holders(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation | None:
        """Ask all holders for tokens that were freed since the last recall.

        This takes one round trip instead of two store writes, so a refusal
        rests on data that is as fresh as possible.
        """
        peers = self._source.peers_by_grant(log, account)[
            :FINAL_QUERY_PEERS_MAX
        ]
        if account.final_queries >= FINAL_QUERIES_MAX:
            return None
        account.final_queries += 1
        try:
            found = await asyncio.gather(
                *(
                    self._reserve_at_peers(
                        [peer], request, minimum=request.minimum
                    )
                    for peer in peers
                )
            )
        finally:
            account.final_queries -= 1
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
        """Return whether a recent read shows that a draw would fail."""
        return (
            self._source.is_pool_view_fresh(log)
            and account.free + account.pool < tokens
        )
