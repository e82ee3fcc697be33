"""Limit of reads from the weight store, shared by all leaders."""

from collections.abc import Callable

from oriolegauge.objectstore import ObjectStore, StoredObject
from oriolegauge.placement.storesteps import SeenVersion, confirmed_put

KEY = 'placement/weights'


class LoadPacer:
    """Keep a minimum interval between loads of all leaders."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        leader: str,
        interval_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Count loads in the name of the leader."""
        self._store = store
        self._leader = leader
        self._interval_s = interval_s
        self._clock = clock
        self._seen = SeenVersion()
        self._found: StoredObject | None = None

    async def is_ready(self) -> bool:
        """State whether the last load of any leader is long enough ago."""
        self._found = await self._store.get(KEY)
        if self._found is None:
            return True
        unchanged_s = self._seen.note(self._found.version, self._clock())
        return unchanged_s >= self._interval_s

    async def take(self) -> bool:
        """Count a load after `is_ready`; return False if another was first."""
        found = self._found
        value = {
            'loads': found.value['loads'] + 1 if found else 1,
            'leader': self._leader,
        }
        stored = await confirmed_put(
            self._store, KEY, value, found.version if found else 0
        )
        return stored is not None
