"""Signs that daemons watch the store, spread by heartbeats.

Daemons of a large fleet are linked to few others. Without signs they would take
each entry of a daemon that is gone for one that watches the store for them.
"""

from collections.abc import Callable, Iterable, Iterator

from oriolegauge.wire.messages import WatchSign

_MS_PER_S = 1000


class WatchSigns:
    """Remember when each daemon was last known to watch the store."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without signs; `clock` is in seconds."""
        self._clock = clock
        self._seen_at: dict[str, float] = {}

    def note(self, name: str) -> None:
        """Note that a daemon watches the store now."""
        self._seen_at[name] = self._clock()

    def learn(self, signs: Iterable[WatchSign]) -> None:
        """Use the signs in a heartbeat that has just arrived."""
        now = self._clock()
        for sign in signs:
            # A sign can't be of the future, whatever a peer sends.
            seen_at = now - max(0, sign.age_ms) / _MS_PER_S
            known_at = self._seen_at.get(sign.member, seen_at)
            self._seen_at[sign.member] = max(seen_at, known_at)

    def is_fresh(self, name: str, max_age_s: float) -> bool:
        """State whether the daemon's last sign is at most that old."""
        seen_at = self._seen_at.get(name)
        return seen_at is not None and self._clock() - seen_at <= max_age_s

    def fresh(
        self, names: Iterable[str], max_age_s: float
    ) -> Iterator[WatchSign]:
        """Yield the fresh signs of the daemons, in their order."""
        now = self._clock()
        for name in names:
            if self.is_fresh(name, max_age_s):
                age_s = now - self._seen_at[name]
                yield WatchSign(name, int(age_s * _MS_PER_S))

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget daemons that are no members."""
        for name in self._seen_at.keys() - set(names):
            del self._seen_at[name]
