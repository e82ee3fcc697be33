"""Claims that allow one command at a time per server, for all leaders."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.objectstore import ObjectStore, StoredObject
from oriolegauge.placement.conditionalwrites import VersionAge, confirmed_put
from oriolegauge.placement.placementsettings import PlacementSettings
from oriolegauge.placement.placementstate import PlannedCommand

BUSY = 'busy'
IDLE = 'idle'


@dataclass(frozen=True, slots=True)
class Claim:
    """Permit one command, sent before `send_before` (seconds)."""

    stored: StoredObject
    send_before: float

    @property
    def fencing(self) -> int:
        """Return the fencing number, which increases per server."""
        return self.stored.value['fencing']


class ServerClaims:
    """Record the command in progress in `placement/servers/<name>`.

    Fencing numbers count per server, not per model: leaders of several models
    send to the same server, which compares all numbers it receives.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        leader: str,
        settings: PlacementSettings,
        clock: Callable[[], float],
    ) -> None:
        """Claim servers as `leader`."""
        self._store = store
        self._leader = leader
        self._settings = settings
        self._clock = clock
        self._seen: dict[str, VersionAge] = defaultdict(VersionAge)
        self._count = 0

    async def claim(self, planned: PlannedCommand) -> Claim | None:
        """Return a claim, or None if another command may be running."""
        key = f'placement/servers/{planned.server}'
        found = await self._store.get(key)
        if found and self._may_run(planned.server, found):
            return None
        self._count += 1
        value = {
            'state': BUSY,
            'fencing': found.value['fencing'] + 1 if found else 1,
            'leader': self._leader,
            'claim': self._count,
            'kind': planned.kind.value,
            'model': planned.model,
            'version': planned.version,
        }
        started = self._clock()
        stored = await confirmed_put(
            self._store, key, value, found.version if found else 0
        )
        if stored is None:
            return None
        return Claim(stored, started + self._settings.claim_send_s)

    async def is_idle(self, server: str) -> bool:
        """Return whether no command can be running on the server."""
        found = await self._store.get(f'placement/servers/{server}')
        return found is None or not self._may_run(server, found)

    async def finish(self, claim: Claim) -> None:
        """Record that the command has ended; keep a newer claim."""
        stored = claim.stored
        value = {**stored.value, 'state': IDLE}
        await confirmed_put(self._store, stored.key, value, stored.version)

    def _may_run(self, server: str, found: StoredObject) -> bool:
        unchanged_s = self._seen[server].observe(found.version, self._clock())
        if found.value['state'] == IDLE:
            return False
        # The claim holder measures its time to send from before its write, so
        # from no later than when this process first read the claim.
        settings = self._settings
        return unchanged_s < settings.claim_send_s + settings.predecessor_wait_s
