"""Settlements and releases that a peer has not yet confirmed."""

from dataclasses import dataclass

from oriolegauge.budget.messages import DeferredSettle, Release

SETTLES_MAX = 10_000
"""Unconfirmed settlements; beyond it they are billed from the own side."""

RELEASES_MAX = 10_000
"""Unconfirmed releases; older ones are dropped, the peer ages them out."""


@dataclass(frozen=True, slots=True)
class PendingSettle:
    """A settlement to repeat until the peer or the store has it."""

    deferred: DeferredSettle
    since: float


class Outbox:
    """Hold what has to be sent again at the next flush."""

    def __init__(self) -> None:
        self._settles: dict[str, PendingSettle] = {}
        self._releases: dict[str, tuple[str, Release]] = {}

    @property
    def settles(self) -> list[PendingSettle]:
        """Return the unconfirmed settlements."""
        return list(self._settles.values())

    @property
    def releases(self) -> list[tuple[str, Release]]:
        """Return the unconfirmed releases with their peers."""
        return list(self._releases.values())

    @property
    def has_room(self) -> bool:
        """Return whether another settlement may be added."""
        return len(self._settles) < SETTLES_MAX

    def add_settle(self, deferred: DeferredSettle, now: float) -> None:
        """Add a settlement once."""
        self._settles.setdefault(
            deferred.settle.reservation_id, PendingSettle(deferred, now)
        )

    def add_release(self, peer: str, release: Release) -> None:
        """Add a release; the oldest one is dropped when there are too many."""
        self._releases[release.reservation_id] = (peer, release)
        if len(self._releases) > RELEASES_MAX:
            self._releases.pop(next(iter(self._releases)))

    def settled(self, reservation_id: str) -> None:
        """Drop a settlement that is confirmed."""
        self._settles.pop(reservation_id, None)

    def released(self, reservation_id: str) -> None:
        """Drop a release that is confirmed."""
        self._releases.pop(reservation_id, None)
