"""State of one member: its processes, and reports of peers about it."""

import math
from collections import deque
from dataclasses import dataclass, field

DEAD_KEPT = 64
INCARNATIONS_KEPT = 16


@dataclass(slots=True)
class Incarnation:
    """Contacts with one process of a member.

    `first_heard` and `last_heard` are the arrival times of its first and last
    message. `silent_since` is the last arrival, moved forward by the pauses of
    this daemon itself.
    """

    name: str
    first_heard: float
    last_heard: float
    silent_since: float
    zone: str = ''
    state: str = ''

    def note_contact(self, now: float) -> None:
        """Note a message that arrived now."""
        self.last_heard = now
        self.silent_since = now


@dataclass(slots=True)
class MemberRecord:
    """Live and dead incarnations of a member.

    Every incarnation that existed before `dead_before`, except `confirmed`, is
    dead: processes at one address follow each other and never overlap.
    `silence_counted_from` is when the record was made, moved forward by the
    pauses of this daemon. `reports` are the times at which peers last had
    contact.
    """

    name: str
    silence_counted_from: float
    live: dict[str, Incarnation] = field(default_factory=dict)
    dead: deque[str] = field(default_factory=lambda: deque(maxlen=DEAD_KEPT))
    dead_before: float = -math.inf
    confirmed: str | None = None
    first_refused_at: float | None = None
    reports: dict[str, float] = field(default_factory=dict)

    def note_contact(self, incarnation: str, now: float) -> Incarnation | None:
        """Note a message of the incarnation; return None if it is ignored.

        Ignored are dead incarnations, and new ones above the limit
        INCARNATIONS_KEPT.
        """
        if incarnation in self.dead:
            return None
        found = self.live.get(incarnation)
        if found is None:
            if len(self.live) >= INCARNATIONS_KEPT:
                return None
            found = Incarnation(incarnation, now, now, now)
            self.live[incarnation] = found
        found.note_contact(now)
        self.first_refused_at = None
        return found

    def mark_dead(self, dead_before: float, confirmed: str | None) -> None:
        """Mark incarnations dead that existed before `dead_before`.

        Except `confirmed`, which is known to run.
        """
        if dead_before < self.dead_before:
            return
        self.dead_before = dead_before
        self.confirmed = confirmed
        for found in list(self.live.values()):
            if found.first_heard < dead_before and found.name != confirmed:
                self.live.pop(found.name)
                self.dead.append(found.name)

    def current(self) -> Incarnation | None:
        """Return the confirmed incarnation, else that of the last message."""
        if self.confirmed in self.live:
            return self.live[self.confirmed]
        return max(
            self.live.values(),
            key=lambda found: (found.last_heard, found.first_heard),
            default=None,
        )

    def last_heard(self) -> float:
        """Return when the last message of a live incarnation arrived."""
        return max(
            (found.last_heard for found in self.live.values()),
            default=-math.inf,
        )

    def silent_since(self) -> float:
        """Return the time of the last contact of any daemon with the member."""
        own = [found.silent_since for found in self.live.values()]
        return max((self.silence_counted_from, *own, *self.reports.values()))

    def discount_pause(self, pause_s: float) -> None:
        """Exclude a pause of this daemon from the silence of the member."""
        self.silence_counted_from += pause_s
        for found in self.live.values():
            found.silent_since += pause_s
        for reporter, contact_at in self.reports.items():
            self.reports[reporter] = contact_at + pause_s
