"""Reservations in the own grant that other daemons asked for."""

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
"""Reservations held for peers; further ones are refused."""

OUTCOMES_MAX = 50_000
"""Finished remote reservations remembered to answer repeated messages."""

HELD_AGE_MAX_S = 3600.0
"""Age at which a reservation is released; its settlement is then billed by
request id from what is free."""


@dataclass(frozen=True, slots=True)
class Held:
    """A reservation held for a peer."""

    asker: str
    reservation: Reservation
    since: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a remote reservation ended, with the log entry of its bill."""

    answer: SettleAnswer | None = None
    entry: JournalEntry | None = None


class RemoteReservations:
    """Remember what is held for whom and how finished ones ended."""

    def __init__(self, *, release: Callable[[Reservation], None]) -> None:
        """Free a reservation through `release`."""
        self._release = release
        self._held: dict[str, Held] = {}
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
        """Return how the reservation ended."""
        return self._outcomes.get(reservation_id)

    def hold(
        self, message: Reserve, reservation: Reservation, now: float
    ) -> None:
        """Hold the reservation for its asker."""
        self._held[message.reservation_id] = Held(
            message.asker, reservation, now
        )

    def release(self, reservation_id: str) -> None:
        """Free a reservation, also one whose request arrives later."""
        found = self._held.pop(reservation_id, None)
        if found is not None:
            self._release(found.reservation)
        if reservation_id not in self._outcomes:
            self.finish(reservation_id, Outcome())

    def finish(self, reservation_id: str, outcome: Outcome) -> None:
        """Remember the outcome; the reservation is no longer held."""
        self._held.pop(reservation_id, None)
        self._outcomes[reservation_id] = outcome
        while len(self._outcomes) > OUTCOMES_MAX:
            self._outcomes.popitem(last=False)

    def release_of(self, process: str) -> None:
        """Free all reservations of a process that died."""
        self._release_all(
            one
            for one, held in self._held.items()
            if process_of(held.asker) == process
        )

    def release_old(self, now: float) -> None:
        """Free reservations whose asker never finished them."""
        self._release_all(
            one
            for one, held in self._held.items()
            if now - held.since > HELD_AGE_MAX_S
        )

    def _release_all(self, reservation_ids) -> None:
        for reservation_id in list(reservation_ids):
            self.release(reservation_id)
