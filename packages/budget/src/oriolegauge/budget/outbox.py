"""Settlements and releases that a peer has not yet confirmed.

They are sent again with each flush, since a message or its reply may be lost.
"""

from dataclasses import dataclass

from oriolegauge.budget.messages import DeferredSettle, Release

SETTLES_MAX = 10_000
"""Unconfirmed settlements; further ones are billed by this daemon."""

RELEASES_MAX = 10_000
"""Unconfirmed releases; beyond it the oldest is dropped.

The peer frees the reservation of a dropped release when it expires.
"""


@dataclass(frozen=True, slots=True)
class PendingSettle:
    """A settlement to resend until the peer confirms or it is billed here."""

    deferred: DeferredSettle
    since: float


class Outbox:
    """Hold the messages to send again with the next flush."""

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
        """Add a settlement if it is not listed yet."""
        self._settles.setdefault(
            deferred.settle.reservation_id, PendingSettle(deferred, now)
        )

    def add_release(self, peer: str, release: Release) -> None:
        """Add a release; drop the oldest one if there are too many."""
        self._releases[release.reservation_id] = (peer, release)
        if len(self._releases) > RELEASES_MAX:
            self._releases.pop(next(iter(self._releases)))

    def confirm_settle(self, reservation_id: str) -> None:
        """Remove a settlement that needs no retry."""
        self._settles.pop(reservation_id, None)

    def confirm_release(self, reservation_id: str) -> None:
        """Remove a release that the peer confirmed."""
        self._releases.pop(reservation_id, None)
