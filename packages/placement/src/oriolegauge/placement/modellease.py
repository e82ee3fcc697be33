"""Leadership of one model through a lease object in the store.

Only the leader commands servers for the model. The lease times keep two
leaders from doing so at once, also when a leader stalls or a reply is lost.
"""

from collections.abc import Callable, Mapping
from typing import Any

from oriolegauge.objectstore import ObjectStore, StoredObject
from oriolegauge.placement.conditionalwrites import VersionAge, confirmed_put
from oriolegauge.placement.placementsettings import PlacementSettings

NO_LEADER = ''


class ModelLease:
    """Take and renew the lease `placement/<model>`.

    The holder measures the lease from before it sent the write, others from
    when they first read the last change. No two clocks are compared.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        model: str,
        leader: str,
        settings: PlacementSettings,
        clock: Callable[[], float],
    ) -> None:
        """Use `leader` as holder name; it must be unique to the process."""
        self._store = store
        self._key = f'placement/{model}'
        self._leader = leader
        self._settings = settings
        self._clock = clock
        self._seen = VersionAge()
        self._held: StoredObject | None = None
        self._valid_until: float = 0
        self._commands_from: float = 0
        self._writes = 0

    @property
    def valid_until(self) -> float:
        """Return when the lease ends (seconds of this process's clock)."""
        return self._valid_until

    @property
    def send_before(self) -> float:
        """Return the time before which commands must be sent (seconds)."""
        settings = self._settings
        return self._valid_until - settings.command_max_s - settings.margin_s

    def may_command(self) -> bool:
        """Return whether a command sent now would end within the lease."""
        return self._commands_from <= self._clock() < self.send_before

    async def hold(self) -> bool:
        """Take or renew the lease; return whether it is held."""
        if self._held:
            return await self._renew(self._held)
        return await self._take()

    async def release(self) -> None:
        """Release the lease, so that a successor need not wait."""
        held = self._held
        self._held = None
        self._valid_until = 0
        if held:
            value = {**held.value, 'leader': NO_LEADER}
            await confirmed_put(self._store, self._key, value, held.version)

    async def _renew(self, held: StoredObject) -> bool:
        value = {**held.value, 'writes': self._next_write()}
        started = self._clock()
        stored = await confirmed_put(
            self._store, self._key, value, held.version
        )
        if stored is None:
            return await self._recover(held)
        self._record_write(stored, started)
        return True

    async def _recover(self, held: StoredObject) -> bool:
        # The store may have applied an earlier renewal after its timeout.
        found = await self._store.get(self._key)
        if found and _is_same_lease_term(found.value, held.value):
            self._held = found
            return self._clock() < self._valid_until
        self._held = None
        self._valid_until = 0
        return False

    async def _take(self) -> bool:
        found = await self._store.get(self._key)
        wait_s = self._wait_before_command(found)
        if wait_s is None:
            return False
        value = {
            'leader': self._leader,
            'fencing': found.value['fencing'] + 1 if found else 1,
            'lease_s': self._settings.lease_s,
            'writes': self._next_write(),
        }
        started = self._clock()
        stored = await confirmed_put(
            self._store, self._key, value, found.version if found else 0
        )
        if stored is None:
            return False
        self._record_write(stored, started)
        self._commands_from = self._clock() + wait_s
        return True

    def _wait_before_command(self, found: StoredObject | None) -> float | None:
        """Return the wait before the first command in seconds.

        Return None if another leader may still hold the lease.
        """
        if found is None:
            return 0
        unchanged_s = self._seen.observe(found.version, self._clock())
        match found.value['leader']:
            case leader if leader == NO_LEADER:
                return 0
            case leader if leader == self._leader:
                # A write of this process that the store applied after its
                # timeout; it replaced the lease of a predecessor.
                return self._settings.predecessor_wait_s
            case _:
                lease_s = found.value['lease_s'] + self._settings.margin_s
                if unchanged_s < lease_s:
                    return None
                return self._settings.predecessor_wait_s

    def _next_write(self) -> int:
        # A number per attempt: otherwise a delayed write would look like its
        # retry, and the lease would be measured from too late a time.
        self._writes += 1
        return self._writes

    def _record_write(self, stored: StoredObject, started: float) -> None:
        self._held = stored
        self._valid_until = started + self._settings.lease_s


def _is_same_lease_term(
    one: Mapping[str, Any], other: Mapping[str, Any]
) -> bool:
    return (one['leader'], one['fencing']) == (
        other['leader'],
        other['fencing'],
    )
