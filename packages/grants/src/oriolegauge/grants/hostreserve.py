"""Reserve of prepaid tokens that one process holds.

Answers stores that are away from the whole fleet for seconds: what daemons hold
then is all there is. The reserve stays closed while renewals are confirmed, so
that it can be given back to the pool if all processes die in calm times.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

from oriolegauge.grants.grantledger import (
    CLOSED_S,
    Renewal,
    ReservePart,
    open_share,
)
from oriolegauge.grants.hosttimes import HostTimes


class HostReserve:
    """Keep the reserve closed, renew it, and open it when the time has come."""

    def __init__(self, *, host: str, holder: str, started: HostTimes) -> None:
        """Act for a process that began at `started`."""
        self._host = host
        self._holder = holder
        self._started = started
        self._believed: dict[str, ReservePart] = {}
        self._opened: Counter[str] = Counter()
        self._pending: Renewal | None = None
        self._number = 0
        self._stamp: HostTimes | None = None
        self._is_in_ledger = False
        # As of the stamp, and opened of that since.
        self._at_stamp: Mapping[str, ReservePart] = {}
        self._opened_since: Counter[str] = Counter()

    @property
    def is_empty(self) -> bool:
        """State whether the ledger holds nothing of this process."""
        return not (self._opened or self._pending or self._is_in_ledger)

    def renewal(self, now: HostTimes) -> Renewal:
        """Return the renewal to send.

        One that was not confirmed may have been written, so it is sent again
        as it was and puts nothing off.
        """
        if self._pending is None:
            self._number += 1
            self._stamp = now
            self._at_stamp = dict(self._believed)
            self._opened_since = Counter()
            self._pending = Renewal(
                host=self._host,
                holder=self._holder,
                started=self._started,
                stamp=now,
                number=self._number,
                believed=dict(self._believed),
                opened=dict(self._opened),
            )
        return self._pending

    def confirm(
        self,
        number: int,
        held: Mapping[str, ReservePart],
        targets: Mapping[str, ReservePart],
    ) -> None:
        """Take over the reserve as it was written for that renewal.

        What lies above a target is given up, and what opens faster opens as
        slowly; the next renewal says so.
        """
        pending = self._pending
        if pending is None or pending.number != number:
            return
        self._pending = None
        self._is_in_ledger = bool(held)
        self._opened -= Counter(pending.opened)
        self._believed = {}
        for team, part in held.items():
            target = targets.get(team)
            kept = part.tokens - self._opened[team]
            if target and min(kept, target.tokens) > 0:
                self._believed[team] = ReservePart(
                    min(kept, target.tokens), max(part.open_s, target.open_s)
                )
        self._at_stamp = dict(self._believed)

    def opens_in_s(self, now_s: float) -> float | None:
        """Return how long the reserve stays closed; None if it is empty."""
        if self._stamp is None or not self._believed:
            return None
        return max(0, self._stamp.boot_s + CLOSED_S - now_s)

    def open(self, team: str, wanted: int, now_s: float) -> int:
        """Take tokens out of the reserve as far as it may be opened."""
        part = self._at_stamp.get(team)
        believed = self._believed.get(team)
        if self._stamp is None or part is None or believed is None:
            return 0
        share = open_share(now_s - self._stamp.boot_s, part.open_s)
        allowed = int(part.tokens * share) - self._opened_since[team]
        taken = min(wanted, allowed, believed.tokens)
        if taken <= 0:
            return 0
        self._opened_since[team] += taken
        self._opened[team] += taken
        self._believed[team] = replace(believed, tokens=believed.tokens - taken)
        return taken

    def held(self, team: str) -> int:
        """Return the tokens of the team in the closed reserve."""
        part = self._believed.get(team)
        return part.tokens if part else 0

    def give_up(self) -> None:
        """Hold nothing from now on; the next renewal says so."""
        self._believed = {}
        self._at_stamp = {}
