"""Reserve of prepaid tokens that one process holds for store outages.

While the store is unreachable, only tokens held by daemons can be spent. The
reserve stays closed as long as renewals are confirmed, so it can be returned to
the pool if all processes crash while the store is reachable.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

from oriolegauge.grants.grantledger import (
    RESERVE_CLOSED_S,
    START_REPORT,
    Renewal,
    ReservePart,
    open_share,
)
from oriolegauge.grants.hosttimes import HostTimes


class HostReserve:
    """Renew the reserve, and open it gradually after missed renewals."""

    def __init__(self, *, host: str, holder: str, started: HostTimes) -> None:
        """Act for process `holder`; `started` are the clocks at its start."""
        self._host = host
        self._holder = holder
        self._started = started
        self._believed: dict[str, ReservePart] = {}
        self._opened: Counter[str] = Counter()
        self._pending: Renewal | None = None
        self._number = 0
        self._stamp: HostTimes | None = None
        self._is_in_ledger = False
        self._is_start_known = False
        # Parts at the time of the stamp, and the tokens opened of them since.
        self._parts_at_stamp: Mapping[str, ReservePart] = {}
        self._opened_since_stamp: Counter[str] = Counter()

    @property
    def is_empty(self) -> bool:
        """State whether the ledger surely holds nothing of this process."""
        return not (self._opened or self._pending or self._is_in_ledger)

    @property
    def is_start_known(self) -> bool:
        """State whether the ledger holds no reserve of an earlier process."""
        return self._is_start_known

    def renewal(self, now: HostTimes) -> Renewal:
        """Return the renewal to send.

        An unconfirmed one may have been written, so it is sent again unchanged
        and doesn't extend the time in which the reserve stays closed.
        """
        if self._pending is None:
            self._number += 1
            self._pending = self._begin_renewal(now, self._number)
        return self._pending

    def start_report(self, now: HostTimes) -> Renewal:
        """Return the renewal to send if no reserve is held or wanted."""
        if self._pending is None:
            self._pending = self._begin_renewal(now, START_REPORT)
        return self._pending

    def confirm(
        self,
        number: int,
        held: Mapping[str, ReservePart],
        targets: Mapping[str, ReservePart],
    ) -> None:
        """Use the reserve as written to the ledger for renewal `number`.

        Parts are cut to their targets, and slowed to the target's opening time;
        the next renewal tells the allocator.
        """
        pending = self._pending
        if pending is None or pending.number != number:
            return
        self._pending = None
        # A renewal is confirmed without tokens while that reserve is there.
        self._is_start_known |= bool(held) or number == START_REPORT
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
        self._parts_at_stamp = dict(self._believed)

    def opens_in_s(self, now_s: float) -> float | None:
        """Return the seconds until the reserve may be opened; None if empty."""
        if self._stamp is None or not self._believed:
            return None
        return max(0, self._stamp.boot_s + RESERVE_CLOSED_S - now_s)

    def open(self, team: str, tokens: int, now_s: float) -> int:
        """Take up to that many tokens out of the open part of the reserve."""
        taken = min(tokens, self.openable(team, now_s))
        if taken <= 0:
            return 0
        believed = self._believed[team]
        self._opened_since_stamp[team] += taken
        self._opened[team] += taken
        self._believed[team] = replace(believed, tokens=believed.tokens - taken)
        return taken

    def openable(self, team: str, now_s: float) -> int:
        """Return the tokens in the open part of the reserve."""
        part = self._parts_at_stamp.get(team)
        believed = self._believed.get(team)
        if self._stamp is None or part is None or believed is None:
            return 0
        share = open_share(now_s - self._stamp.boot_s, part.open_s)
        allowed = int(part.tokens * share) - self._opened_since_stamp[team]
        return max(0, min(allowed, believed.tokens))

    def held(self, team: str) -> int:
        """Return the tokens of the team that are left in the reserve."""
        part = self._believed.get(team)
        return part.tokens if part else 0

    def _begin_renewal(self, now: HostTimes, number: int) -> Renewal:
        self._stamp = now
        self._parts_at_stamp = dict(self._believed)
        self._opened_since_stamp = Counter()
        return Renewal(
            host=self._host,
            holder=self._holder,
            started=self._started,
            stamp=now,
            number=number,
            believed=dict(self._believed),
            opened=dict(self._opened),
        )

    def release(self) -> None:
        """Hold nothing from now on; the next renewal tells the allocator."""
        self._believed = {}
        self._parts_at_stamp = {}
        if self._pending and self._pending.number == START_REPORT:
            # Nothing depends on the report of a process that stops.
            self._pending = None
