"""What the table keeps about one member."""

import math
from collections import deque
from dataclasses import dataclass, field

DEAD_KEPT = 64
INCARNATIONS_KEPT = 16


@dataclass(slots=True)
class Incarnation:
    """Hold the signs of one process of a member.

    `first_heard` and `last_heard` are arrival times. `silent_since` is the
    last arrival, moved forward by the time this daemon itself was paused.
    """

    name: str
    first_heard: float
    last_heard: float
    silent_since: float
    zone: str = ''
    state: str = ''

    def hear(self, now: float) -> None:
        """Note a sign that arrived now."""
        self.last_heard = now
        self.silent_since = now


@dataclass(slots=True)
class MemberRecord:
    """Hold the living incarnations of a member and the proof against others.

    Every incarnation that existed before `dead_before`, except `survivor`, is
    dead: processes at one address follow each other and never overlap.
    `silent_floor` is when the record was made.
    """

    name: str
    silent_floor: float
    living: dict[str, Incarnation] = field(default_factory=dict)
    dead: deque[str] = field(default_factory=lambda: deque(maxlen=DEAD_KEPT))
    dead_before: float = -math.inf
    survivor: str | None = None
    refused_at: float | None = None
    reports: dict[str, float] = field(default_factory=dict)

    def hear(self, incarnation: str, now: float) -> Incarnation | None:
        """Note a sign of the incarnation; return None if it is ignored."""
        if incarnation in self.dead:
            return None
        found = self.living.get(incarnation)
        if found is None:
            if len(self.living) >= INCARNATIONS_KEPT:
                return None
            found = Incarnation(incarnation, now, now, now)
            self.living[incarnation] = found
        found.hear(now)
        self.refused_at = None
        return found

    def bury(self, dead_before: float, survivor: str | None) -> None:
        """Mark all incarnations dead that existed before, but the survivor."""
        if dead_before < self.dead_before:
            return
        self.dead_before = dead_before
        self.survivor = survivor
        for found in list(self.living.values()):
            if found.first_heard < dead_before and found.name != survivor:
                self.living.pop(found.name)
                self.dead.append(found.name)

    def current(self) -> Incarnation | None:
        """Return the confirmed incarnation, else the one heard last."""
        if self.survivor in self.living:
            return self.living[self.survivor]
        return max(
            self.living.values(),
            key=lambda found: (found.last_heard, found.first_heard),
            default=None,
        )

    def last_heard(self) -> float:
        """Return when the last sign of any living incarnation arrived."""
        return max(
            (found.last_heard for found in self.living.values()),
            default=-math.inf,
        )

    def silent_since(self) -> float:
        """Return since when no member has heard of this one."""
        own = [found.silent_since for found in self.living.values()]
        return max((self.silent_floor, *own, *self.reports.values()))

    def shift(self, pause_s: float) -> None:
        """Leave a pause of this daemon out of the silence of the member."""
        self.silent_floor += pause_s
        for found in self.living.values():
            found.silent_since += pause_s
        for reporter, heard_at in self.reports.items():
            self.reports[reporter] = heard_at + pause_s
