"""Rate limit of loads, shared by all leaders through a stored object.

Each load reads weights from the weight store, so this limits its read rate.
"""

from collections.abc import Callable

from oriolegauge.objectstore import ObjectStore, StoredObject
from oriolegauge.placement.conditionalwrites import VersionAge, confirmed_put

KEY = 'placement/weights'


class LoadPacer:
    """Enforce a minimum interval between the loads of all leaders."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        leader: str,
        interval_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Record loads as `leader`, `interval_s` seconds apart at least."""
        self._store = store
        self._leader = leader
        self._interval_s = interval_s
        self._clock = clock
        self._seen = VersionAge()
        self._found: StoredObject | None = None

    async def is_ready(self) -> bool:
        """Return whether the last load of any leader is long enough ago."""
        self._found = await self._store.get(KEY)
        if self._found is None:
            return True
        unchanged_s = self._seen.observe(self._found.version, self._clock())
        return unchanged_s >= self._interval_s

    async def take(self) -> bool:
        """Record a load after `is_ready`.

        Return False if another leader recorded one in the meantime.
        """
        found = self._found
        value = {
            'loads': found.value['loads'] + 1 if found else 1,
            'leader': self._leader,
        }
        stored = await confirmed_put(
            self._store, KEY, value, found.version if found else 0
        )
        return stored is not None
