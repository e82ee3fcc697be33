"""Choice of the peer that a daemon asks next for a newer document.

Matters when the peer that first told of a document can't be reached: links are
missing, or open and silent, in one direction or both.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from oriolegauge.wire.messages import ConfigVersion

# Another peer is asked for a document that has not come after this time: the
# link to the first may be silent. Two more copies at most delay each other on
# the smallest links.
SLOW_FETCH_S = 0.5
MAX_FETCHES = 3
# A peer that failed is not asked again for this time, so that a daemon whose
# peers all fail at once does not ask them in a busy loop.
FAILED_PAUSE_S = 0.5
# What a peer told longer ago is no reason to ask it: a linked peer repeats it
# several times in this period.
TOLD_MAX_AGE_S = 3.0
# A failure longer ago does not count against a peer.
FAILURE_MEMORY_S = 60.0

IsWanted = Callable[[str, int, int], bool]
IsLinked = Callable[[str], bool]


@dataclass(frozen=True, slots=True)
class _Told:
    row: ConfigVersion
    told_at: float


@dataclass(slots=True)
class _Key:
    """Hold who told of a document, and when fetches under way began."""

    told: dict[str, _Told] = field(default_factory=dict)
    fetching: dict[str, float] = field(default_factory=dict)


class DocumentSources:
    """Remember what peers told of documents and which of them failed.

    Times are seconds of any steady clock.
    """

    def __init__(self, is_wanted: IsWanted, is_linked: IsLinked) -> None:
        """Ask for what `is_wanted(key, version, digest)`, and linked peers."""
        self._is_wanted = is_wanted
        self._is_linked = is_linked
        self._keys: dict[str, _Key] = {}
        self._failed_at: dict[str, float] = {}

    def note_told(self, peer: str, row: ConfigVersion, now: float) -> bool:
        """Note which version a peer has; return whether it is wanted."""
        if not self._is_wanted(row.key, row.version, row.digest):
            return False
        told = self._keys.setdefault(row.key, _Key()).told
        told_at = {name: entry.told_at for name, entry in told.items()}
        for earlier in _older(told_at, now - TOLD_MAX_AGE_S):
            del told[earlier]
        told[peer] = _Told(row, now)
        return True

    def next_peer(self, key: str, now: float) -> str | None:
        """Return whom to ask now, or None to wait for a fetch or a heartbeat.

        Peers that never failed come first, then those that failed longest ago.
        A peer without a link is asked after a later heartbeat of it.
        """
        found = self._keys.get(key)
        if found is None or not self._may_fetch(found, now):
            return None
        candidates = [
            peer
            for peer, told in found.told.items()
            if self._is_candidate(peer, told, found, now)
        ]
        return min(
            candidates,
            key=lambda peer: (
                self._failed_at.get(peer, -math.inf),
                -found.told[peer].row.version,
            ),
            default=None,
        )

    def note_asked(self, peer: str, key: str, now: float) -> None:
        """Note that a fetch from the peer has begun."""
        self._keys[key].fetching[peer] = now

    def note_ended(
        self, peer: str, key: str, now: float, *, is_answered: bool
    ) -> None:
        """Note that a fetch from the peer has been answered or has failed."""
        found = self._keys[key]
        found.fetching.pop(peer, None)
        self._failed_at.pop(peer, None)
        if is_answered:
            # A peer whose answer lacks the version that it told of is asked
            # again only after it tells of it again.
            found.told.pop(peer, None)
            return
        for earlier in _older(self._failed_at, now - FAILURE_MEMORY_S):
            del self._failed_at[earlier]
        self._failed_at[peer] = now

    def _may_fetch(self, found: _Key, now: float) -> bool:
        if not found.fetching:
            return True
        waited_s = now - max(found.fetching.values())
        return waited_s >= SLOW_FETCH_S and len(found.fetching) < MAX_FETCHES

    def _is_candidate(
        self, peer: str, told: _Told, found: _Key, now: float
    ) -> bool:
        return (
            peer not in found.fetching
            and self._is_linked(peer)
            and now - told.told_at <= TOLD_MAX_AGE_S
            and now - self._failed_at.get(peer, -math.inf) >= FAILED_PAUSE_S
            and self._is_wanted(told.row.key, told.row.version, told.row.digest)
        )


def _older(times: Mapping[str, float], oldest: float) -> list[str]:
    return [name for name, at in times.items() if at < oldest]
