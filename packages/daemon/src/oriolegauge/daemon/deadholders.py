"""Close the holders of daemon processes that ended.

A daemon that crashes still holds granted tokens of the budgets. The other
daemons return these to the budgets once there is proof that the process
ended, or after a long time without any sign of it.
"""

import asyncio
from collections.abc import Callable

import structlog

from oriolegauge.budget import BudgetManager
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.membership import MemberState
from oriolegauge.mesh import PeerMesh
from oriolegauge.objectstore import ObjectStore

CHECK_PERIOD_S = 0.5
# Reading all shards finds holders of processes that ended while no daemon
# was running.
STORE_READ_PERIOD_S = 60.0
SHARD_PREFIX = 'budgets/'

log = structlog.get_logger()


class DeadHolders:
    """Find holders whose process ended and close them."""

    def __init__(
        self,
        *,
        holder: str,
        mesh: PeerMesh,
        budgets: BudgetManager,
        store: ObjectStore,
        clock: Callable[[], float],
    ) -> None:
        """Close with `budgets` the holders that the member table allows.

        `holder` is the holder of this process; `clock` is in seconds.
        """
        self._holder = holder
        self._name = holder.partition('/')[0]
        self._mesh = mesh
        self._budgets = budgets
        self._store = store
        self._clock = clock
        self._last_seen_at: dict[str, float] = {}
        self._positions: dict[tuple[str, str], int] = {}
        self._next_read = clock()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self._record_heartbeats()
            if self._clock() >= self._next_read:
                await self._read_stored_holders()
            for holder in list(self._last_seen_at):
                if self._is_closable(holder):
                    await self._close(holder)
            await asyncio.sleep(CHECK_PERIOD_S)

    def _record_heartbeats(self) -> None:
        for name, found in self._mesh.heartbeats.items():
            holder = f'{name}/{found.heartbeat.incarnation}'
            self._last_seen_at[holder] = found.received_at

    async def _read_stored_holders(self) -> None:
        self._next_read = self._clock() + STORE_READ_PERIOD_S
        read_at = self._clock()
        try:
            shards = await self._store.list_objects(SHARD_PREFIX)
        except OriolegaugeError as error:
            log.info('budget shards not read', error=error.message)
            return
        known = self._positions
        self._positions = {
            (shard.key, holder): position
            for shard in shards
            for holder, position in shard.value.get('positions', {}).items()
        }
        for (key, holder), position in self._positions.items():
            # A changed journal position shows that the holder was running.
            if known.get((key, holder)) != position:
                self._last_seen_at[holder.partition('.')[0]] = read_at

    def _is_closable(self, holder: str) -> bool:
        if holder == self._holder:
            return False
        member, _, incarnation = holder.partition('/')
        if member == self._name:
            # This process listens on the address of the member, so an earlier
            # process of the same name has ended.
            return True
        return self._mesh.table.is_closable(
            member,
            incarnation,
            seen_at=self._last_seen_at[holder],
            now=self._clock(),
        )

    def _has_failure_proof(self, holder: str) -> bool:
        member = holder.partition('/')[0]
        state = self._mesh.table.state(member, self._clock())
        return member == self._name or state is not MemberState.GONE

    async def _close(self, holder: str) -> None:
        del self._last_seen_at[holder]
        log.info('closing holder', holder=holder)
        try:
            await self._budgets.close_process_holders(
                holder, has_failure_proof=self._has_failure_proof(holder)
            )
        except OriolegaugeError as error:
            log.warning('holder not closed yet', error=error.message)
