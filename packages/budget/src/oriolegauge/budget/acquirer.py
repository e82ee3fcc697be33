"""Search for the tokens of one request, source by source."""

from dataclasses import dataclass

from oriolegauge.budget.budgetaccount import BudgetAccount
from oriolegauge.budget.errors import BudgetExhaustedError
from oriolegauge.budget.reservation import Reservation
from oriolegauge.budget.settler import Settler
from oriolegauge.budget.shardlog import ShardLog
from oriolegauge.budget.tokensource import PEERS_ASKED_MAX, TokenSource

RETRY_AFTER_S = 2.0
"""Retry time of a refusal; idle grants are back in the store by then."""

CAP_ATTEMPTS = 3
"""Attempts to draw what is left while others draw as well."""


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Ask for up to `tokens`, at least `minimum`, before `deadline`."""

    budget: str
    request_id: str
    tokens: int
    minimum: int
    deadline: float


def refusal(budget: str) -> BudgetExhaustedError:
    """Return the error for a request that nothing can pay."""
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
        """Try the sources in order; raise BudgetExhaustedError at the end."""
        hub = self._source.hub(account)
        if hub is not None:
            found = await self._ask([hub], request, may_draw=True)
            if found is not None:
                return found
        is_short = self._is_pool_short(log, account, request.tokens)
        if not is_short and await self._draw(
            log, account, request, request.tokens
        ):
            return self._open(log, request, request.tokens)
        found = await self._ask(self._source.holders(log, account), request)
        if found is not None:
            return found
        if await self._recall(log, account, request):
            return self._open(log, request, request.tokens)
        return await self._acquire_less(log, account, request)

    async def _acquire_less(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> Reservation:
        for _ in range(CAP_ATTEMPTS):
            tokens = min(request.tokens, account.free + account.pool)
            if tokens < request.minimum:
                break
            if await self._draw(log, account, request, tokens):
                return self._open(log, request, tokens)
        if request.minimum < request.tokens:
            peers = self._source.holders(log, account)
            found = await self._ask(peers, request, minimum=request.minimum)
            if found is not None:
                return found
        raise refusal(request.budget)

    async def _recall(
        self, log: ShardLog, account: BudgetAccount, request: TokenRequest
    ) -> bool:
        recalled = await self._source.recall(log, account, request.tokens)
        if recalled.returned and await self._draw(
            log, account, request, request.tokens
        ):
            return True
        if recalled.reserved + account.reserved == 0:
            return False
        return await self._source.wait_for_return(
            log, account, request.tokens, deadline=request.deadline
        )

    async def _draw(
        self,
        log: ShardLog,
        account: BudgetAccount,
        request: TokenRequest,
        tokens: int,
    ) -> bool:
        return await self._source.draw(
            log, account, tokens, deadline=request.deadline
        )

    async def _ask(
        self,
        peers: list[str],
        request: TokenRequest,
        *,
        minimum: int | None = None,
        may_draw: bool = False,
    ) -> Reservation | None:
        for peer in peers[:PEERS_ASKED_MAX]:
            answer = await self._source.ask(
                peer,
                budget=request.budget,
                request_id=request.request_id,
                tokens=request.tokens,
                minimum=request.tokens if minimum is None else minimum,
                may_draw=may_draw,
            )
            if answer is not None:
                return self._settler.open_remote(
                    request.budget, request.request_id, peer, answer
                )
        return None

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
