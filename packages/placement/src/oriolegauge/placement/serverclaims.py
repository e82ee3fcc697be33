"""One command at a time per server, across all leaders."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.objectstore import ObjectStore, StoredObject
from oriolegauge.placement.placementsettings import PlacementSettings
from oriolegauge.placement.situation import Move
from oriolegauge.placement.storesteps import SeenVersion, confirmed_put

BUSY = 'busy'
IDLE = 'idle'


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold the right to send one command before `send_before`."""

    stored: StoredObject
    send_before: float

    @property
    def fencing(self) -> int:
        """Return the number of the command, which grows per server."""
        return self.stored.value['fencing']


class ServerClaims:
    """Record the command in progress in `placement/servers/<name>`.

    Numbers are counted per server, not per model: leaders of several models
    send to the same server, which compares all numbers that it gets.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        leader: str,
        settings: PlacementSettings,
        clock: Callable[[], float],
    ) -> None:
        """Claim servers in the name of the leader."""
        self._store = store
        self._leader = leader
        self._settings = settings
        self._clock = clock
        self._seen: dict[str, SeenVersion] = defaultdict(SeenVersion)
        self._count = 0

    async def claim(self, move: Move) -> Claim | None:
        """Return the claim, or None while another command may run."""
        key = f'placement/servers/{move.server}'
        found = await self._store.get(key)
        if found and self._may_run(move.server, found):
            return None
        self._count += 1
        value = {
            'state': BUSY,
            'fencing': found.value['fencing'] + 1 if found else 1,
            'leader': self._leader,
            'claim': self._count,
            'kind': move.kind.value,
            'model': move.model,
            'version': move.version,
        }
        started = self._clock()
        stored = await confirmed_put(
            self._store, key, value, found.version if found else 0
        )
        if stored is None:
            return None
        return Claim(stored, started + self._settings.claim_send_s)

    async def is_idle(self, server: str) -> bool:
        """State whether no command may be running on the server."""
        found = await self._store.get(f'placement/servers/{server}')
        return found is None or not self._may_run(server, found)

    async def finish(self, claim: Claim) -> None:
        """Record that the command has ended; a newer claim stays."""
        stored = claim.stored
        value = {**stored.value, 'state': IDLE}
        await confirmed_put(self._store, stored.key, value, stored.version)

    def _may_run(self, server: str, found: StoredObject) -> bool:
        unchanged_s = self._seen[server].note(found.version, self._clock())
        if found.value['state'] == IDLE:
            return False
        # The claimant counts its time to send from before its write, which
        # was no later than this process first saw it.
        settings = self._settings
        return unchanged_s < settings.claim_send_s + settings.predecessor_wait_s
