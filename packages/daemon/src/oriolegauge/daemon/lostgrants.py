"""Reserve tokens while the grants of a crashed daemon are recovered.

Until the crash is proved and the daemon's grants are closed, its tokens are
missing from the budget. Requests wait for them instead of being refused.
"""

import asyncio
from collections.abc import Callable

from oriolegauge.budget import (
    BudgetExhaustedError,
    BudgetManager,
    BudgetUnreachableError,
    Reservation,
)
from oriolegauge.mesh import PeerMesh

# Proof of a crash takes about a second, closing the grants a little more.
WAIT_MAX_S = 2.5
RETRY_PERIOD_S = 0.1
# A daemon that sent no heartbeat for longer is more likely partitioned than
# crashed, and its grants are not recovered soon.
RECOVERY_EXPECTED_S = 10.0


class LostGrants:
    """Reserve tokens, with a wait for grants of recently lost daemons.

    A refusal meanwhile would be false, as the tokens return to the budget as
    soon as the crash is proved.
    """

    def __init__(
        self,
        *,
        budgets: BudgetManager,
        mesh: PeerMesh,
        clock: Callable[[], float],
    ) -> None:
        """Reserve with `budgets`; `clock` is in seconds."""
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

        Raise BudgetExhaustedError; at once unless a recently lost daemon
        holds a grant of the budget.
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
                if self._clock() >= until or not self._is_being_recovered(
                    budget
                ):
                    raise
            await asyncio.sleep(RETRY_PERIOD_S)

    def _is_being_recovered(self, budget: str) -> bool:
        linked = {peer.name for peer in self._mesh.peers()}
        return any(
            name not in linked and self._was_recently_heard(name)
            for name in self._budgets.other_holders(budget)
        )

    def _was_recently_heard(self, name: str) -> bool:
        found = self._mesh.heartbeats.get(name)
        if found is None:
            return False
        return self._clock() - found.received_at < RECOVERY_EXPECTED_S
