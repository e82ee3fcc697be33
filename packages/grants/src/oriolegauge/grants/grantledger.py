"""Durable record of what may have been spent out of prepaid budgets.

Tokens count as charged from the write that grants them until their holder
returns them, so the record never shows less than was spent, even if every
process dies at once and nobody is left to tell what its grants were used for.
Tokens in reserve are neither free nor charged: their holder opens its reserve
bit by bit, from some time after its last renewal. A successor that can tell how
soon the holder has died gives the rest back to the pool.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from oriolegauge.grants.hosttimes import HostTimes

# A reserve may be opened this long after the stamp of its last renewal. A host
# that lost power is back within two seconds, and its last renewal was written
# up to half a second before.
CLOSED_S = 2.6
# The part that may be open at once, as a time of the demand it is meant for:
# requests have waited for it.
FIRST_PART_S = 2.2
# Holders whose last position is kept to resolve lost answers. Only holders that
# wait for an answer need theirs.
MAX_POSITIONS = 64


def open_share(passed_s: float, open_s: float) -> float:
    """Return the part that may be open so long after the stamp.

    What is known to be closed at the death of the process is not lost.
    """
    if passed_s <= CLOSED_S:
        return 0
    if not open_s:
        return 1
    return min(1.0, (passed_s - CLOSED_S + FIRST_PART_S) / open_s)


@dataclass(frozen=True, slots=True)
class TeamRow:
    """Count the tokens charged to a team, and those known to be spent."""

    charged: int = 0
    settled: int = 0


@dataclass(frozen=True, slots=True)
class ReservePart:
    """Count the tokens of a team in a reserve.

    Once it may be opened, they become open evenly over `open_s`.
    """

    tokens: int
    open_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveRow:
    """Hold the reserve of one process of a host, by team.

    The process may open it some time after `stamp`, which renewal `number`
    brought.
    """

    holder: str
    stamp: HostTimes
    number: int
    parts: Mapping[str, ReservePart] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamRequest:
    """Ask for tokens of a team, and report what became of others.

    `need` is granted if it is free, `ahead` as far as it is.
    """

    prepaid: int
    need: int = 0
    ahead: int = 0
    returned: int = 0
    settled: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Renewal:
    """Put off the time from which a process may open its reserve.

    `started` are the host's clocks at the start of the process, `stamp` those
    from which the time counts. `believed` is what it takes its reserve to be at
    most. `opened` tokens are its own since renewal `number` - 1; one that is
    sent again keeps its number and content.
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
    """Apply a renewal and bring the reserve to `targets`, as far as possible.

    The process before may have opened its reserve for `passed_s` after its
    stamp; infinity if that is not known.
    """

    renewal: Renewal
    targets: Mapping[str, ReservePart]
    passed_s: float = math.inf


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerEntry:
    """Describe one write by a holder; its positions rise by one."""

    holder: str
    position: int
    team_requests: Mapping[str, TeamRequest]
    reserves: tuple[ReserveChange, ...] = ()


@dataclass(frozen=True, slots=True)
class GrantLedger:
    """Hold the rows of all teams and all reserves, by host."""

    teams: Mapping[str, TeamRow] = field(default_factory=dict)
    reserves: Mapping[str, ReserveRow] = field(default_factory=dict)
    last: Mapping[str, int] = field(default_factory=dict)

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
        }

    def team(self, team: str) -> TeamRow:
        """Return the row of a team."""
        return self.teams.get(team, _NO_TEAM)

    def reserved(self, team: str) -> int:
        """Return the tokens of a team in all reserves."""
        return _reserved(self.reserves, team)

    def free(self, team: str, prepaid: int) -> int:
        """Return the tokens that are not spent, granted or in reserve."""
        used = self.team(team).charged + self.reserved(team)
        return max(0, prepaid - used)

    def position(self, holder: str) -> int:
        """Return the last position applied for the holder."""
        return self.last.get(holder, 0)

    def apply(
        self, entry: LedgerEntry
    ) -> tuple['GrantLedger', Mapping[str, int]]:
        """Return the book after the entry and what it grants."""
        page = _Page(dict(self.teams), dict(self.reserves))
        for team, team_request in entry.team_requests.items():
            page.settle(team, team_request)
        for change in entry.reserves:
            page.resolve(change)
        granted = {
            team: page.grant(team, team_request)
            for team, team_request in entry.team_requests.items()
        }
        for change in entry.reserves:
            page.resize(change, entry.team_requests)
        last = {
            holder: position
            for holder, position in self.last.items()
            if holder != entry.holder
        }
        last[entry.holder] = entry.position
        for holder in list(last)[: max(0, len(last) - MAX_POSITIONS)]:
            del last[holder]
        return GrantLedger(page.teams, page.reserves, last), granted


_NO_TEAM = TeamRow()
_NO_PART = ReservePart(0, 0)


class _Page:
    """Change the rows of a book step by step."""

    def __init__(
        self, teams: dict[str, TeamRow], reserves: dict[str, ReserveRow]
    ) -> None:
        self.teams = teams
        self.reserves = reserves

    def settle(self, team: str, team_request: TeamRequest) -> None:
        row = self.teams.get(team, _NO_TEAM)
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
        """Account for what was opened, or for a process that has died."""
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
            part = parts[team]
            parts[team] = replace(part, tokens=part.tokens - opened)
            self._charge(team, opened)
        self.reserves[renewal.host] = replace(
            row, parts=parts, number=renewal.number
        )

    def resize(
        self, change: ReserveChange, team_requests: Mapping[str, TeamRequest]
    ) -> None:
        renewal = change.renewal
        row = self.reserves.get(renewal.host)
        if row and renewal.number < row.number:
            # It was overtaken by a later one.
            return
        held = row.parts if row else {}
        parts = {}
        for team in held.keys() | change.targets.keys():
            team_request = team_requests.get(team)
            free = self._free(team, team_request.prepaid) if team_request else 0
            part = _resized(
                held.get(team, _NO_PART),
                change.targets.get(team, _NO_PART),
                renewal.believed.get(team, _NO_PART),
                free,
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
        reserved = _reserved(self.reserves, team)
        charged = self.teams.get(team, _NO_TEAM).charged
        return max(0, prepaid - charged - reserved)


def _reserved(reserves: Mapping[str, ReserveRow], team: str) -> int:
    parts = (row.parts.get(team, _NO_PART) for row in reserves.values())
    return sum(part.tokens for part in parts)


def _resized(
    held: ReservePart, target: ReservePart, believed: ReservePart, free: int
) -> ReservePart:
    """Return the part nearest to the target that the process keeps within.

    It may still open what it believes to have, as fast as it believes.
    """
    wanted = min(target.tokens, held.tokens + free)
    certain = min(held.tokens, believed.tokens)
    open_s = target.open_s
    if certain:
        open_s = min(believed.open_s, open_s or believed.open_s)
    return ReservePart(max(wanted, certain), open_s)
