"""Reservations in the local grant that were made for other daemons.

Messages of peers may arrive repeated or out of order, so the outcome of each
reservation is kept to answer a retry without billing or refunding twice.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.budget.holdername import process_of
from oriolegauge.budget.messages import (
    JournalEntry,
    Reserve,
    SettleAnswer,
)
from oriolegauge.budget.reservation import Reservation

HELD_MAX = 10_000
"""Open reservations for peers; further ones are refused."""

OUTCOMES_MAX = 50_000
"""Finished reservations whose outcome is kept to answer retries."""

HELD_AGE_MAX_S = 3600.0
"""Age at which a reservation expires.

A later settlement is billed by request id from free tokens of the grant.
"""


@dataclass(frozen=True, slots=True)
class HeldReservation:
    """A reservation held for a peer."""

    asker: str
    reservation: Reservation
    since: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a reservation: answer and log entry, if it was billed."""

    answer: SettleAnswer | None = None
    entry: JournalEntry | None = None


class RemoteReservations:
    """Track the open reservations of peers and the outcome of finished ones."""

    def __init__(self, *, release: Callable[[Reservation], None]) -> None:
        """Free a reservation through `release`."""
        self._release = release
        self._held: dict[str, HeldReservation] = {}
        self._outcomes: OrderedDict[str, Outcome] = OrderedDict()

    @property
    def count(self) -> int:
        """Return the number of held reservations."""
        return len(self._held)

    @property
    def has_room(self) -> bool:
        """Return whether another reservation may be held."""
        return len(self._held) < HELD_MAX

    def held(self, reservation_id: str) -> Reservation | None:
        """Return the held reservation."""
        found = self._held.get(reservation_id)
        return found.reservation if found else None

    def outcome(self, reservation_id: str) -> Outcome | None:
        """Return the outcome of a finished reservation."""
        return self._outcomes.get(reservation_id)

    def hold(
        self, message: Reserve, reservation: Reservation, now: float
    ) -> None:
        """Hold the reservation for its asker."""
        self._held[message.reservation_id] = HeldReservation(
            message.asker, reservation, now
        )

    def release(self, reservation_id: str) -> None:
        """Free a reservation; refuse it if its request arrives later."""
        found = self._held.pop(reservation_id, None)
        if found is not None:
            self._release(found.reservation)
        if reservation_id not in self._outcomes:
            self.finish(reservation_id, Outcome())

    def finish(self, reservation_id: str, outcome: Outcome) -> None:
        """Store the outcome of a reservation, which is no longer held."""
        self._held.pop(reservation_id, None)
        self._outcomes[reservation_id] = outcome
        while len(self._outcomes) > OUTCOMES_MAX:
            self._outcomes.popitem(last=False)

    def release_all_of(self, process: str) -> None:
        """Free all reservations of a process that ended."""
        self._release_all(
            one
            for one, held in self._held.items()
            if process_of(held.asker) == process
        )

    def release_expired(self, now: float) -> None:
        """Free reservations that were neither settled nor released in time."""
        self._release_all(
            one
            for one, held in self._held.items()
            if now - held.since > HELD_AGE_MAX_S
        )

    def _release_all(self, reservation_ids) -> None:
        for reservation_id in list(reservation_ids):
            self.release(reservation_id)
