"""Leadership of one model by a lease object in the store."""

from collections.abc import Callable, Mapping
from typing import Any

from oriolegauge.objectstore import ObjectStore, StoredObject
from oriolegauge.placement.placementsettings import PlacementSettings
from oriolegauge.placement.storesteps import SeenVersion, confirmed_put

NOBODY = ''


class ModelLease:
    """Take and renew the lease `placement/<model>`.

    The holder counts the lease from before it sent the write; others count it
    from when they saw the last change. No two clocks are compared.
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
        """Compete for the model as `leader`, a name new to each process."""
        self._store = store
        self._key = f'placement/{model}'
        self._leader = leader
        self._settings = settings
        self._clock = clock
        self._seen = SeenVersion()
        self._held: StoredObject | None = None
        self._valid_until: float = 0
        self._command_from: float = 0
        self._writes = 0

    @property
    def valid_until(self) -> float:
        """Return when the lease ends on the own clock (seconds)."""
        return self._valid_until

    @property
    def send_before(self) -> float:
        """Return when the last command of this lease may be sent."""
        settings = self._settings
        return self._valid_until - settings.command_max_s - settings.margin_s

    def may_command(self) -> bool:
        """State whether a full command fits into the lease now."""
        return self._command_from <= self._clock() < self.send_before

    async def hold(self) -> bool:
        """Take or renew the lease; return whether it is held."""
        if self._held:
            return await self._renew(self._held)
        return await self._take()

    async def release(self) -> None:
        """Give the lease up, so that a successor need not wait."""
        held = self._held
        self._held = None
        self._valid_until = 0
        if held:
            value = {**held.value, 'leader': NOBODY}
            await confirmed_put(self._store, self._key, value, held.version)

    async def _renew(self, held: StoredObject) -> bool:
        value = {**held.value, 'writes': self._next_write()}
        started = self._clock()
        stored = await confirmed_put(
            self._store, self._key, value, held.version
        )
        if stored is None:
            return await self._recover(held)
        self._keep(stored, started)
        return True

    async def _recover(self, held: StoredObject) -> bool:
        # An earlier renewal may have been applied after it was given up.
        found = await self._store.get(self._key)
        if found and _is_same_term(found.value, held.value):
            self._held = found
            return self._clock() < self._valid_until
        self._held = None
        self._valid_until = 0
        return False

    async def _take(self) -> bool:
        found = await self._store.get(self._key)
        wait_s = self._wait_after(found)
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
        self._keep(stored, started)
        self._command_from = self._clock() + wait_s
        return True

    def _wait_after(self, found: StoredObject | None) -> float | None:
        """Return the wait before the first command, or None if not free."""
        if found is None:
            return 0
        unchanged_s = self._seen.note(found.version, self._clock())
        match found.value['leader']:
            case leader if leader == NOBODY:
                return 0
            case leader if leader == self._leader:
                # A write of this process that was applied after it was given
                # up; what it replaced was a predecessor.
                return self._settings.predecessor_wait_s
            case _:
                lease_s = found.value['lease_s'] + self._settings.margin_s
                if unchanged_s < lease_s:
                    return None
                return self._settings.predecessor_wait_s

    def _next_write(self) -> int:
        # Numbers each attempt, so that a late one is not taken for its
        # repetition, which would count the lease from too late a time.
        self._writes += 1
        return self._writes

    def _keep(self, stored: StoredObject, started: float) -> None:
        self._held = stored
        self._valid_until = started + self._settings.lease_s


def _is_same_term(one: Mapping[str, Any], other: Mapping[str, Any]) -> bool:
    return (one['leader'], one['fencing']) == (
        other['leader'],
        other['fencing'],
    )
