"""Durable record of the tokens charged to prepaid budgets.

Tokens are charged by the write that grants them until their holder returns
them, so the record never shows less than was spent, even if all processes crash
at once. Tokens in reserve are neither free nor charged: the holder may open its
reserve gradually, starting RESERVE_CLOSED_S after its last renewal. If a later
process of the host can bound the time until the crash, tokens that can't have
been opened return to the pool.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from oriolegauge.grants.hosttimes import HostTimes

# A reserve may be opened this long after the stamp of its last renewal. A host
# restarts within two seconds of a power loss, and its last renewal was written
# up to half a second before the loss.
RESERVE_CLOSED_S = 2.6
# Seconds of demand that are open as soon as the reserve may be opened, for the
# requests that have waited.
INITIALLY_OPEN_S = 2.2
# Number of a renewal that only reports the start of a process. It asks for no
# reserve, but resolves that of an earlier process of the host.
START_REPORT = 0
# Last positions kept, by holder, to resolve writes with lost answers. Only a
# holder with an unresolved write needs its position.
MAX_POSITIONS = 64


def open_share(passed_s: float, open_s: float) -> float:
    """Return the share that may be open `passed_s` seconds after the stamp.

    The closed rest can be returned to the pool after a crash.
    """
    if passed_s <= RESERVE_CLOSED_S:
        return 0
    if not open_s:
        return 1
    return min(1.0, (passed_s - RESERVE_CLOSED_S + INITIALLY_OPEN_S) / open_s)


@dataclass(frozen=True, slots=True)
class TeamRow:
    """Count the tokens charged to a team, and those reported as spent."""

    charged: int = 0
    settled: int = 0


@dataclass(frozen=True, slots=True)
class ReservePart:
    """Count the tokens of a team in a reserve.

    Once opening is allowed, they open evenly over `open_s` seconds.
    """

    tokens: int
    open_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveRow:
    """Hold the reserve of one process of a host, by team.

    `stamp` is from the last renewal, `number`; the process may open its reserve
    RESERVE_CLOSED_S after it.
    """

    holder: str
    stamp: HostTimes
    number: int
    parts: Mapping[str, ReservePart] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamRequest:
    """Ask for tokens of a team, and report returned and spent ones.

    `need` and then `ahead` are granted as far as tokens are free; `returned`
    go back to the pool, `settled` were spent.
    """

    prepaid: int
    need: int = 0
    ahead: int = 0
    returned: int = 0
    settled: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Renewal:
    """Extend the time in which the reserve of a process stays closed.

    `started` are the host's clocks at the start of the process; the time counts
    from `stamp`. The process opens no more than the `believed` parts. It has
    taken `opened` tokens since renewal `number` - 1. A retry has the same
    number and content. START_REPORT may precede the first renewal.
    """

    host: str
    holder: str
    started: HostTimes
    stamp: HostTimes
    number: int
    believed: Mapping[str, ReservePart] = field(default_factory=dict)
    opened: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveChange:
    """Apply a renewal and resize the reserve towards `targets`.

    It grows only as long as all reserves of the team hold less than its limit.
    If another process of the host held the reserve, it may have opened it until
    `passed_s` seconds after its stamp; infinity if no bound is known.
    """

    renewal: Renewal
    targets: Mapping[str, ReservePart]
    limits: Mapping[str, int] = field(default_factory=dict)
    passed_s: float = math.inf


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerEntry:
    """Describe one write; the positions of a holder increase by one."""

    holder: str
    position: int
    team_requests: Mapping[str, TeamRequest]
    reserves: tuple[ReserveChange, ...] = ()


@dataclass(frozen=True, slots=True)
class GrantLedger:
    """Hold the rows of all teams and the reserves of all hosts.

    `last` maps holders to the position of their last entry. `era` is that of
    the store when it was written, None if the writer did not record it. After a
    restore of the store, `base_version` is that of the ledger from which it was
    continued, with the tokens charged and in reserve there in `base_used`;
    `is_forfeited` if none was known: then unlisted teams have no free tokens.
    """

    teams: Mapping[str, TeamRow] = field(default_factory=dict)
    reserves: Mapping[str, ReserveRow] = field(default_factory=dict)
    last: Mapping[str, int] = field(default_factory=dict)
    era: int | None = None
    base_version: int = 0
    base_used: Mapping[str, int] = field(default_factory=dict)
    is_forfeited: bool = False

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> 'GrantLedger':
        """Read the stored form; raise KeyError, TypeError or ValueError."""
        return cls(
            teams={team: TeamRow(*row) for team, row in value['teams'].items()},
            reserves={
                host: ReserveRow(
                    holder=row['holder'],
                    stamp=HostTimes(*row['stamp']),
                    number=row['number'],
                    parts={
                        team: ReservePart(*part)
                        for team, part in row['parts'].items()
                    },
                )
                for host, row in value['reserves'].items()
            },
            last=value['last'],
            era=value.get('era'),
            base_version=value.get('base_version', 0),
            base_used=value.get('base_used', {}),
            is_forfeited=value.get('is_forfeited', False),
        )

    def to_value(self) -> Mapping[str, Any]:
        """Return the form to store."""
        return {
            'teams': {
                team: [row.charged, row.settled]
                for team, row in self.teams.items()
            },
            'reserves': {
                host: {
                    'holder': row.holder,
                    'stamp': [
                        row.stamp.boot_id,
                        row.stamp.boot_s,
                        row.stamp.wall_s,
                    ],
                    'number': row.number,
                    'parts': {
                        team: [part.tokens, part.open_s]
                        for team, part in row.parts.items()
                    },
                }
                for host, row in self.reserves.items()
            },
            'last': self.last,
            'era': self.era,
            'base_version': self.base_version,
            'base_used': self.base_used,
            'is_forfeited': self.is_forfeited,
        }

    def team(self, team: str) -> TeamRow:
        """Return the row of a team; empty for an unknown team."""
        return self.teams.get(team, _NO_TEAM)

    def reserved(self, team: str, hosts: Collection[str] | None = None) -> int:
        """Return the tokens of a team in the reserves of `hosts`, or of all."""
        rows = self.reserves.items()
        return _reserved(
            [row for host, row in rows if hosts is None or host in hosts], team
        )

    def used(self, team: str) -> int:
        """Return the tokens that are charged or in reserve."""
        return self.team(team).charged + self.reserved(team)

    def free(self, team: str, prepaid: int) -> int:
        """Return the tokens that are neither charged nor in reserve."""
        return max(0, prepaid - self.used(team))

    def names(self) -> set[str]:
        """Return all teams that have a row or a reserve."""
        reserved = (row.parts.keys() for row in self.reserves.values())
        return self.teams.keys() | set().union(*reserved)

    def charge(self, missing: Mapping[str, int]) -> 'GrantLedger':
        """Return the ledger with further tokens charged, by team."""
        teams = dict(self.teams)
        for team, tokens in missing.items():
            row = self.team(team)
            teams[team] = replace(row, charged=row.charged + tokens)
        return replace(self, teams=teams)

    def position(self, holder: str) -> int:
        """Return the last position applied for the holder, 0 if unknown."""
        return self.last.get(holder, 0)

    def apply(
        self, entry: LedgerEntry
    ) -> tuple['GrantLedger', Mapping[str, int]]:
        """Return the ledger after the entry and the tokens granted by team."""
        draft = _LedgerDraft(
            dict(self.teams),
            dict(self.reserves),
            is_forfeited=self.is_forfeited,
        )
        for team, team_request in entry.team_requests.items():
            draft.settle(team, team_request)
        for change in entry.reserves:
            draft.resolve(change)
        granted = {
            team: draft.grant(team, team_request)
            for team, team_request in entry.team_requests.items()
        }
        for change in entry.reserves:
            draft.resize(change, entry.team_requests)
        last = {
            holder: position
            for holder, position in self.last.items()
            if holder != entry.holder
        }
        last[entry.holder] = entry.position
        for holder in list(last)[: max(0, len(last) - MAX_POSITIONS)]:
            del last[holder]
        changed = replace(
            self, teams=draft.teams, reserves=draft.reserves, last=last
        )
        return changed, granted


_NO_TEAM = TeamRow()
_NO_PART = ReservePart(0, 0)


class _LedgerDraft:
    """Apply the steps of an entry to copies of the rows."""

    def __init__(
        self,
        teams: dict[str, TeamRow],
        reserves: dict[str, ReserveRow],
        *,
        is_forfeited: bool,
    ) -> None:
        self.teams = teams
        self.reserves = reserves
        self._is_forfeited = is_forfeited

    def settle(self, team: str, team_request: TeamRequest) -> None:
        row = self.teams.get(team, _NO_TEAM)
        if self._is_forfeited and team not in self.teams:
            row = TeamRow(self._free(team, team_request.prepaid))
        self.teams[team] = TeamRow(
            row.charged - team_request.returned,
            row.settled + team_request.settled,
        )

    def grant(self, team: str, team_request: TeamRequest) -> int:
        granted = min(
            team_request.need + team_request.ahead,
            self._free(team, team_request.prepaid),
        )
        self._charge(team, granted)
        return granted

    def resolve(self, change: ReserveChange) -> None:
        """Charge opened tokens, or close the reserve of an ended process."""
        renewal = change.renewal
        row = self.reserves.get(renewal.host)
        if row is None:
            return
        if row.holder != renewal.holder:
            for team, part in row.parts.items():
                share = open_share(change.passed_s, part.open_s)
                self._charge(team, math.ceil(part.tokens * share))
            del self.reserves[renewal.host]
            return
        if renewal.number <= row.number:
            return
        parts = dict(row.parts)
        for team, opened in renewal.opened.items():
            # A ledger that was continued from an older one may lack the part.
            part = parts.get(team, _NO_PART)
            parts[team] = replace(part, tokens=max(0, part.tokens - opened))
            self._charge(team, opened)
        self.reserves[renewal.host] = replace(row, parts=parts)

    def resize(
        self, change: ReserveChange, team_requests: Mapping[str, TeamRequest]
    ) -> None:
        renewal = change.renewal
        row = self.reserves.get(renewal.host)
        if row and renewal.number <= row.number:
            # It was applied before, perhaps by another daemon, or a later one
            # was. The host may hold more by now than it believed then.
            return
        held = row.parts if row else {}
        parts = {}
        for team in held.keys() | change.targets.keys():
            team_request = team_requests.get(team)
            free = self._free(team, team_request.prepaid) if team_request else 0
            limit = change.limits.get(team, math.inf)
            room = limit - _reserved(self.reserves.values(), team)
            part = _resized(
                held.get(team, _NO_PART),
                change.targets.get(team, _NO_PART),
                renewal.believed.get(team, _NO_PART),
                int(max(0, min(free, room))),
            )
            if part.tokens:
                parts[team] = part
        if not parts:
            self.reserves.pop(renewal.host, None)
            return
        self.reserves[renewal.host] = ReserveRow(
            holder=renewal.holder,
            stamp=renewal.stamp,
            number=renewal.number,
            parts=parts,
        )

    def _charge(self, team: str, tokens: int) -> None:
        row = self.teams.get(team, _NO_TEAM)
        self.teams[team] = replace(row, charged=row.charged + tokens)

    def _free(self, team: str, prepaid: int) -> int:
        reserved = _reserved(self.reserves.values(), team)
        charged = self.teams.get(team, _NO_TEAM).charged
        return max(0, prepaid - charged - reserved)


def _reserved(rows: Iterable[ReserveRow], team: str) -> int:
    parts = (row.parts.get(team, _NO_PART) for row in rows)
    return sum(part.tokens for part in parts)


def _resized(
    held: ReservePart, target: ReservePart, believed: ReservePart, room: int
) -> ReservePart:
    """Return the part nearest to the target that is safe.

    It grows by `room` at most.

    The process may still open the tokens that it believed to hold, at the rate
    that it believed, so the part is no smaller and opens no slower.
    """
    affordable = min(target.tokens, held.tokens + room)
    minimum = min(held.tokens, believed.tokens)
    open_s = target.open_s
    if minimum:
        open_s = min(believed.open_s, open_s or believed.open_s)
    return ReservePart(max(affordable, minimum), open_s)
