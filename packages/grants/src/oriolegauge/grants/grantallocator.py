"""Grant allocator: one daemon that draws prepaid tokens for the whole fleet.

Answers many daemons that draw on the same budgets: one object in the store
holds them all and one daemon at a time writes it, so calls to the store rise
neither with the daemons nor with the teams. Any daemon can be the allocator at
any moment; two at once only cost each other a call.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import structlog

from oriolegauge.core.taskset import TaskSet
from oriolegauge.grants.grantledger import (
    GrantLedger,
    LedgerEntry,
    Renewal,
    ReserveChange,
    ReservePart,
    ReserveRow,
    TeamRequest,
)
from oriolegauge.grants.holdingtargets import (
    WRITE_PERIOD_S,
    HoldingTargets,
    holding_targets,
)
from oriolegauge.grants.hosttimes import HostTimes
from oriolegauge.grants.ledgerwriter import LedgerWriter, Written
from oriolegauge.grants.reserveproof import passed_times
from oriolegauge.grants.teamaccount import TeamAccount
from oriolegauge.objectstore import (
    ObjectStore,
    StoreAnswerLostError,
    StoreError,
)

# A store that failed is left alone for this time.
STORE_PAUSE_S = 1.0
# A pool that could not meet a need is not asked again for this time.
EMPTY_POOL_PAUSE_S = 0.5
# Writes for one call while others take what they brought.
MAX_DRAWS = 4
# Above this multiple of what it should hold the allocator returns tokens.
HIGH_SHARE = 1.5
# Below this part the allocator fills up before it runs dry.
LOW_SHARE = 0.85
# Hosts that came back are waited for before the reserves of processes that
# died count as spent.
DECIDE_S = 6.0
# Renewals that come within this time are written together.
GATHER_S = 0.1
# A host that has not renewed its reserve for this time gets no new tokens.
RESERVING_S = 2.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Renewed:
    """Tell a host what its reserve holds, and should hold, after a write."""

    number: int
    held: Mapping[str, ReservePart]
    targets: Mapping[str, ReservePart]


@dataclass(slots=True)
class _Wanted:
    """Collect what the next write has to do."""

    needs: Counter[str] = field(default_factory=Counter)
    returned: Counter[str] = field(default_factory=Counter)
    renewals: dict[str, Renewal] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Start:
    """Keep the clocks at the start of a process, and when it was heard of."""

    holder: str
    times: HostTimes
    heard_at: float


class GrantAllocator:
    """Hold the working part of all budgets and write the ledger."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        key: str,
        holder: str,
        account: Callable[[str], TeamAccount],
        prepaid: Callable[[str], int | None],
        reaches_store: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        """Credit what is granted to the `account` of its team."""
        self._writer = LedgerWriter(
            store=store,
            key=key,
            holder=holder,
            on_resolved=self._resolve,
        )
        self._holder = holder
        self._account = account
        self._prepaid = prepaid
        self._reaches_store = reaches_store
        self._clock = clock
        # Demand of the other daemons.
        self._demand: dict[str, TeamAccount] = {}
        self._wanted = _Wanted()
        self._lock = asyncio.Lock()
        self._tasks = TaskSet()
        self._writes = 0
        self._written_at = -math.inf
        self._failed_at = -math.inf
        self._is_lost = False
        self._is_closing = False
        self._empty_at: dict[str, float] = {}
        self._starts: dict[str, _Start] = {}
        self._renewed_at: dict[str, float] = {}
        # When the reserve of a dead process was resolved, and the time of day
        # that had passed there.
        self._resolved: dict[str, tuple[float, float]] = {}

    @property
    def book(self) -> GrantLedger:
        """Return the ledger as this daemon last saw it."""
        return self._writer.book

    @property
    def version(self) -> int:
        """Return the version of the ledger, 0 if none was seen."""
        return self._writer.version

    @property
    def is_known(self) -> bool:
        """State whether this daemon has seen the ledger."""
        return self._writer.is_known

    @property
    def is_store_unavailable(self) -> bool:
        """State whether the store can't be asked, as far as is known."""
        return self._is_pausing or not self._reaches_store()

    @property
    def _is_pausing(self) -> bool:
        return self._clock() - self._failed_at < STORE_PAUSE_S

    def note_demand(self, team: str, tokens: int) -> None:
        """Count tokens that other daemons have taken."""
        found = self._demand.get(team)
        if found is None:
            found = self._demand[team] = TeamAccount(self._clock())
        found.note_demand(tokens, self._clock())

    def unspent(self, team: str) -> int | None:
        """Return the tokens that are not known to be spent, if known."""
        if not self.is_known:
            return None
        prepaid = self._prepaid(team) or 0
        reported = self.book.team(team).settled
        return max(0, prepaid - reported - self._account(team).unreported)

    def holding_targets(self, team: str) -> HoldingTargets:
        """Return what to hold of the team's tokens now."""
        now = self._clock()
        prepaid = self._prepaid(team) or 0
        account = self._account(team)
        if self._is_closing:
            return HoldingTargets(0)
        rate = account.rate(now)
        requests = account.request_rate(now)
        others = self._demand.get(team)
        if others:
            rate += others.rate(now)
            requests += others.request_rate(now)
        reach = account.free + self.book.reserved(team)
        reach += self.book.free(team, prepaid)
        return holding_targets(
            rate=rate,
            request_tokens=rate / requests if requests else 0,
            reach=reach,
            prepaid=prepaid,
        )

    def waiting(self, team: str) -> int:
        """Return the tokens that calls wait for."""
        return self._wanted.needs[team]

    async def draw(self, team: str, need: int) -> None:
        """Draw until the team's account holds the need, if the pool can.

        What should be held ahead of demand is drawn with it. Calls that wait
        for the same write are met by it together; what it brought may be gone
        before a call's turn, if others needed more.
        """
        for _ in range(MAX_DRAWS):
            empty_at = self._empty_at.get(team, -math.inf)
            is_empty = self._clock() - empty_at < EMPTY_POOL_PAUSE_S
            if is_empty or self.is_store_unavailable:
                return
            self._wanted.needs[team] += need
            try:
                await self._write_after(self._writes)
            finally:
                self._wanted.needs[team] -= need
            missing = need - self._account(team).free
            if missing <= 0:
                return
            prepaid = self._prepaid(team) or 0
            if self.book.free(team, prepaid) < missing:
                self._empty_at[team] = self._clock()

    async def renew(self, renewal: Renewal) -> Renewed | None:
        """Renew the reserve of a host with the next write.

        Return None if it may not have been written.
        """
        self._note_start(renewal)
        is_held = renewal.host in self.book.reserves or renewal.opened
        targets = self._reserve_targets()
        if self.is_known and not (is_held or targets):
            return Renewed(renewal.number, {}, {})
        writes = self._writes
        self._wanted.renewals[renewal.host] = renewal
        # Those of the other hosts come at the same time.
        await asyncio.sleep(GATHER_S)
        if self.is_store_unavailable:
            return None
        if not await self._write_after(writes):
            return None
        row = self.book.reserves.get(renewal.host)
        is_own = row is not None and row.holder == renewal.holder
        held = row.parts if is_own else {}
        is_current = not is_own or row.number == renewal.number
        if not is_current:
            return None
        return Renewed(renewal.number, held, self._reserve_targets())

    async def tick(self) -> None:
        """Fill up what has run low."""
        has_written = self._clock() - self._written_at < WRITE_PERIOD_S
        if has_written or self.is_store_unavailable:
            return
        if any(self._is_low(team) for team in self._teams()):
            await self._write_after(self._writes)

    def end_pause(self) -> None:
        """Call the store again, though it failed a moment ago."""
        self._failed_at = -math.inf

    async def give_back(self, teams: Mapping[str, TeamAccount]) -> None:
        """Return all free tokens to the pool, and hold none from now on."""
        self._is_closing = True
        for team, account in teams.items():
            self._wanted.returned[team] += account.take_free(account.free)
        if any(self._wanted.returned.values()):
            await self._write_after(self._writes)

    def _teams(self) -> set[str]:
        return {
            team
            for team in self._demand.keys() | self.book.teams.keys()
            if self._prepaid(team) is not None
        }

    def _is_low(self, team: str) -> bool:
        held = self.holding_targets(team)
        account = self._account(team)
        if account.free > HIGH_SHARE * held.working:
            return True
        is_low = account.free < LOW_SHARE * held.working
        return is_low and self._ample(team, held) > 0

    def _ample(self, team: str, held: HoldingTargets) -> int:
        """Return the tokens that the pool can spare."""
        return min(held.working, self.book.free(team, self._prepaid(team) or 0))

    async def _write_after(self, writes: int) -> bool:
        """Return whether a write that began after `writes` has succeeded.

        A caller that leaves meanwhile does not cancel the write of others.
        """
        return await asyncio.shield(
            self._tasks.spawn(self._write_in_turn(writes))
        )

    async def _write_in_turn(self, writes: int) -> bool:
        async with self._lock:
            if self._writes == writes:
                await self._write()
            return not self._is_lost

    async def _write(self) -> None:
        """Write what is wanted; without certainty nothing of it is used."""
        self._writes += 1
        self._written_at = self._clock()
        wanted = self._wanted
        self._wanted = _Wanted(needs=wanted.needs)
        reports: Counter[str] = Counter()
        try:
            written = await self._writer.write(
                lambda book, position: self._entry(
                    wanted, reports, book, position
                )
            )
        except StoreError as error:
            self._note_failure(error)
            # What may have been written is settled when that is known.
            if not isinstance(error, StoreAnswerLostError):
                self._take_back(wanted.returned, reports)
            return
        if self._is_lost:
            log.info('store regained for grants')
        self._is_lost = False
        self._credit(written)

    def _entry(
        self,
        wanted: _Wanted,
        reports: Counter[str],
        book: GrantLedger,
        position: int,
    ) -> LedgerEntry:
        teams = self._teams() | wanted.needs.keys() | wanted.returned.keys()
        team_requests = {}
        for team in teams:
            team_request = self._team_request(team, wanted, reports)
            if team_request:
                team_requests[team] = team_request
        return LedgerEntry(
            holder=self._holder,
            position=position,
            team_requests=team_requests,
            reserves=tuple(self._changes(wanted.renewals, book)),
        )

    def _team_request(
        self, team: str, wanted: _Wanted, reports: Counter[str]
    ) -> TeamRequest | None:
        prepaid = self._prepaid(team)
        if prepaid is None:
            return None
        account = self._account(team)
        held = self.holding_targets(team)
        reports[team] += account.report()
        surplus = account.free - int(HIGH_SHARE * held.working)
        if surplus > 0:
            wanted.returned[team] += account.take_free(surplus)
        need = max(0, wanted.needs[team] - account.free)
        after = max(0, account.free - wanted.needs[team])
        return TeamRequest(
            prepaid=prepaid,
            need=need,
            ahead=max(0, held.working - after),
            returned=wanted.returned[team],
            settled=reports[team],
        )

    def _changes(
        self, renewals: Mapping[str, Renewal], book: GrantLedger
    ) -> list[ReserveChange]:
        """Return the renewals to write; those in doubt wait."""
        passed = self._passed_times(book)
        targets = self._reserve_targets()
        changes = []
        for host, renewal in renewals.items():
            row = book.reserves.get(host)
            passed_s = passed.get(host, math.inf)
            if row and row.holder != renewal.holder:
                if math.isinf(passed_s) and not self._has_waited(host):
                    continue
                self._note_resolved(row, renewal, passed_s)
            changes.append(
                ReserveChange(
                    renewal=renewal,
                    targets=targets,
                    passed_s=passed_s,
                )
            )
        return changes

    def _note_resolved(
        self, row: ReserveRow, renewal: Renewal, passed_s: float
    ) -> None:
        started, stamp = renewal.started, row.stamp
        wall_passed_s = started.wall_s - stamp.wall_s
        self._resolved[renewal.host] = (self._clock(), wall_passed_s)
        log.info(
            'reserve of a dead process resolved',
            host=renewal.host,
            passed_s=round(passed_s, 3),
            tokens=sum(part.tokens for part in row.parts.values()),
            is_same_boot=started.boot_id == stamp.boot_id,
            boot_passed_s=round(started.boot_s - stamp.boot_s, 3),
            wall_passed_s=round(wall_passed_s, 3),
        )

    def _passed_times(self, book: GrantLedger) -> dict[str, float]:
        dead: dict[str, ReserveRow] = {}
        for host, row in book.reserves.items():
            start = self._starts.get(host)
            renewed_at = self._renewed_at.get(host, -math.inf)
            is_alive = start is not None and start.holder == row.holder
            is_renewing = self._clock() - renewed_at < RESERVING_S
            if not (is_alive and is_renewing):
                dead[host] = row
        starts = {
            host: start.times
            for host, start in self._starts.items()
            if host in dead and dead[host].holder != start.holder
        }
        known_s = {
            host: wall_passed_s
            for host, (resolved_at, wall_passed_s) in self._resolved.items()
            if self._clock() - resolved_at < DECIDE_S and host not in dead
        }
        return passed_times(dead, starts, known_s)

    def _note_start(self, renewal: Renewal) -> None:
        now = self._clock()
        self._renewed_at[renewal.host] = now
        known = self._starts.get(renewal.host)
        if known is None or known.holder != renewal.holder:
            self._starts[renewal.host] = _Start(
                renewal.holder, renewal.started, now
            )

    def _has_waited(self, host: str) -> bool:
        return self._clock() - self._starts[host].heard_at > DECIDE_S

    def _reserve_targets(self) -> dict[str, ReservePart]:
        """Return the even part of each host that renews."""
        now = self._clock()
        hosts = sum(
            now - renewed_at < RESERVING_S
            for renewed_at in self._renewed_at.values()
        )
        targets = {}
        for team in self._teams():
            held = self.holding_targets(team)
            tokens = held.reserve // max(1, hosts)
            if tokens:
                targets[team] = ReservePart(tokens, held.open_s)
        return targets

    def _credit(self, written: Written) -> None:
        for team, granted in written.granted.items():
            self._account(team).credit(granted)
        self._log(written)

    def _resolve(self, written: Written, was_applied: bool) -> None:
        """Settle a write whose answer was lost."""
        if was_applied:
            self._credit(written)
            return
        for team, team_request in written.entry.team_requests.items():
            self._account(team).credit(team_request.returned)
            self._account(team).take_report(team_request.settled)

    def _take_back(self, returned: Counter[str], reports: Counter[str]) -> None:
        for team, tokens in returned.items():
            self._account(team).credit(tokens)
        for team, tokens in reports.items():
            self._account(team).take_report(tokens)

    def _note_failure(self, error: StoreError) -> None:
        if not self._is_lost:
            log.warning('store lost for grants', error=error.message)
        self._is_lost = True
        self._failed_at = self._clock()

    def _log(self, written: Written) -> None:
        """Tell what changed: granted, returned, charged, reserved, settled."""
        book = self.book
        changed = {}
        for team, team_request in written.entry.team_requests.items():
            granted = written.granted[team]
            if granted or team_request.returned or team_request.settled:
                row = book.team(team)
                changed[team] = (
                    granted,
                    team_request.returned,
                    row.charged,
                    book.reserved(team),
                    row.settled,
                )
        log.info(
            'ledger written',
            version=self.version,
            position=written.entry.position,
            teams=changed,
            reserves=len(book.reserves),
        )
