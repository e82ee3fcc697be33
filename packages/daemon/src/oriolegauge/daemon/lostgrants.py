"""Reserve tokens while the grant of a lost daemon is being freed."""

import asyncio
from collections.abc import Callable

from oriolegauge.budget import (
    BudgetExhaustedError,
    BudgetManager,
    BudgetUnreachableError,
    Reservation,
)
from oriolegauge.mesh import PeerMesh

# Evidence of a death takes about a second, closing its grants a little more.
WAIT_MAX_S = 2.5
RETRY_PERIOD_S = 0.1
# A daemon lost for longer is cut off rather than dead; its grant stays.
RECENT_LOSS_S = 10.0


class LostGrants:
    """Wait for tokens that a daemon held which has just been lost.

    A refusal in that second would be false: the tokens come back as soon as
    the death is proved.
    """

    def __init__(
        self,
        *,
        budgets: BudgetManager,
        mesh: PeerMesh,
        clock: Callable[[], float],
    ) -> None:
        """Reserve through `budgets`; `clock` is in seconds."""
        self._budgets = budgets
        self._mesh = mesh
        self._clock = clock

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

        Raise BudgetExhaustedError at once unless a lost daemon's grant of the
        budget is about to return.
        """
        until = min(deadline, self._clock() + WAIT_MAX_S)
        while True:
            try:
                return await self._budgets.reserve(
                    budget=budget,
                    request_id=request_id,
                    tokens=tokens,
                    minimum=minimum,
                    deadline=deadline,
                )
            except BudgetUnreachableError:
                raise
            except BudgetExhaustedError:
                if self._clock() >= until or not self._is_returning(budget):
                    raise
            await asyncio.sleep(RETRY_PERIOD_S)

    def _is_returning(self, budget: str) -> bool:
        linked = {peer.name for peer in self._mesh.peers()}
        return any(
            name not in linked and self._is_recent(name)
            for name in self._budgets.other_holders(budget)
        )

    def _is_recent(self, name: str) -> bool:
        found = self._mesh.heartbeats.get(name)
        if found is None:
            return False
        return self._clock() - found.received_at < RECENT_LOSS_S
