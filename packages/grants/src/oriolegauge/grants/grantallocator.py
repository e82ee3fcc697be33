"""Grant allocator: one daemon that draws prepaid tokens for the whole fleet.

One object in the store holds the ledger of all budgets and normally one daemon
writes it, so the number of store calls doesn't grow with daemons or teams. Any
daemon can take over as the allocator at any time; two at once are safe and only
cause write conflicts, each of which costs a retry.
"""

import asyncio
import math
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

import structlog

from oriolegauge.core.taskset import TaskSet
from oriolegauge.grants.grantledger import (
    START_REPORT,
    GrantLedger,
    LedgerEntry,
    Renewal,
    ReserveChange,
    ReservePart,
    ReserveRow,
    TeamRequest,
)
from oriolegauge.grants.grantprocess import GrantProcess
from oriolegauge.grants.holdingtargets import (
    WRITE_PERIOD_S,
    HoldingTargets,
    holding_targets,
)
from oriolegauge.grants.hosttimes import HostTimes
from oriolegauge.grants.ledgerrecovery import LedgerCopy
from oriolegauge.grants.ledgerwriter import LedgerWriter, Written
from oriolegauge.grants.renewalwatch import RenewalWatch
from oriolegauge.grants.reserveproof import passed_times
from oriolegauge.grants.teamaccount import TeamAccount
from oriolegauge.objectstore import (
    RestorableStore,
    StoreAnswerLostError,
    StoreError,
)

# No store call is made for this time after one failed.
STORE_PAUSE_S = 1.0
# After the pool could not cover a need, draws of as much pause for this time.
EMPTY_POOL_PAUSE_S = 0.5
# Writes for one call while concurrent calls use up the granted tokens.
MAX_DRAW_ATTEMPTS = 4
# A write that takes longer counts as a store that does not answer: callers then
# use reserves and loans. Below the time that daemons wait for a draw.
WRITE_WAIT_S = 0.4
# The allocator returns tokens above this multiple of its target.
RETURN_ABOVE_RATIO = 1.5
# The allocator draws more tokens below this share of its target.
REFILL_BELOW_RATIO = 0.85
# How long to wait for other hosts to restart, whose clocks help to prove what
# was opened, before the reserve of a crashed process is charged in full.
RESOLVE_WAIT_S = 6.0
# Renewals that arrive within this time are written together.
RENEWAL_BATCH_S = 0.1

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Renewed:
    """Report the tokens and the targets of a host's reserve after a write.

    `written` is the ledger, for the host to remember.
    """

    number: int
    held: Mapping[str, ReservePart]
    targets: Mapping[str, ReservePart]
    written: LedgerCopy | None = None


@dataclass(slots=True)
class _PendingWrite:
    """Collect the needs, returns and renewals for the next write."""

    needs: defaultdict[str, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )
    returned: Counter[str] = field(default_factory=Counter)
    renewals: dict[str, Renewal] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _ProcessStart:
    """Record the clocks of a host when a process of it started.

    `first_seen_at` is the time of its first renewal, by the allocator's clock.
    """

    holder: str
    times: HostTimes
    first_seen_at: float


class GrantAllocator:
    """Hold tokens of all budgets ahead of demand and write the ledger."""

    def __init__(
        self,
        *,
        store: RestorableStore,
        key: str,
        process: GrantProcess,
        account: Callable[[str], TeamAccount],
        leads: Callable[[], bool],
        prepaid: Callable[[str], int | None],
        reaches_store: Callable[[], bool],
        remembered_by_peers: Callable[[], Awaitable[Sequence[LedgerCopy]]],
        share: Callable[[LedgerCopy], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        """Write as `process`; credit granted tokens to the `account` of a team.

        `share` has peers remember a written ledger. Only a daemon that `leads`
        the fleet as its allocator draws tokens ahead of demand.

        `prepaid` returns a team's budget in tokens, None if it has none.
        """
        self._writer = LedgerWriter(
            store=store,
            key=key,
            holder=process.holder,
            on_resolved=self._resolve,
            is_first_start=process.is_first_start,
            remembered_by_peers=remembered_by_peers,
            prepaid=prepaid,
        )
        self._holder = process.holder
        self._share = share
        self._account = account
        self._leads = leads
        self._prepaid = prepaid
        self._reaches_store = reaches_store
        self._clock = clock
        # Demand of the other daemons, by team.
        self._demand: dict[str, TeamAccount] = {}
        self._pending = _PendingWrite()
        self._lock = asyncio.Lock()
        self._tasks = TaskSet()
        self._writes = 0
        self._written_at = -math.inf
        self._write_began_at = math.inf
        self._failed_at = -math.inf
        self._is_store_failing = False
        self._is_closing = False
        # By team: when the pool could not cover a draw, and how much it lacked.
        self._uncovered: dict[str, tuple[float, int]] = {}
        self._starts: dict[str, _ProcessStart] = {}
        self._watch = RenewalWatch()
        self._known_lost: frozenset[str] = frozenset()
        # By host: when the reserve of a crashed process was resolved, and the
        # seconds on the wall clock between its last stamp and the restart.
        self._resolved: dict[str, tuple[float, float]] = {}

    @property
    def ledger(self) -> GrantLedger:
        """Return the ledger as last read or written by this daemon."""
        return self._writer.ledger

    @property
    def version(self) -> int:
        """Return the version of the ledger, 0 if it was never seen."""
        return self._writer.version

    @property
    def is_known(self) -> bool:
        """State whether this daemon has read or written the ledger."""
        return self._writer.is_known

    @property
    def remembered(self) -> LedgerCopy | None:
        """Return the newest ledger that the store has confirmed."""
        return self._writer.remembered

    def remember(self, copy: LedgerCopy) -> None:
        """Remember a ledger that the store has confirmed to a peer."""
        self._writer.remember(copy)

    @property
    def is_store_unavailable(self) -> bool:
        """State whether store calls are paused or expected to fail."""
        is_silent = self._clock() - self._write_began_at >= WRITE_WAIT_S
        return is_silent or self._is_pausing or not self._reaches_store()

    @property
    def _is_pausing(self) -> bool:
        return self._clock() - self._failed_at < STORE_PAUSE_S

    def note_demand(self, team: str, tokens: int) -> None:
        """Add tokens drawn by another daemon to the recent demand."""
        found = self._demand.get(team)
        if found is None:
            found = self._demand[team] = TeamAccount(self._clock())
        found.note_demand(tokens, self._clock())

    def unspent(self, team: str) -> int | None:
        """Return the tokens not reported as spent; None without a ledger."""
        if not self.is_known:
            return None
        prepaid = self._prepaid(team) or 0
        reported = self.ledger.team(team).settled
        return max(0, prepaid - reported - self._account(team).unreported)

    def holding_targets(self, team: str) -> HoldingTargets:
        """Return the tokens of the team to hold ahead of demand now."""
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
        stranded = self._stranded(team)
        available_tokens = account.free + self.ledger.reserved(team)
        available_tokens += self.ledger.free(team, prepaid) - stranded
        return holding_targets(
            rate=rate,
            request_tokens=rate / requests if requests else 0,
            available_tokens=available_tokens,
            stranded_tokens=stranded,
            prepaid=prepaid,
        )

    def reserved(self, team: str) -> float:
        """Return the tokens in all reserves, by the newest known ledger."""
        known = self.remembered
        return known.ledger.reserved(team) if known else math.inf

    def waiting(self, team: str) -> int:
        """Return the tokens needed by draws that wait for a write."""
        return sum(self._pending.needs[team])

    def pool(self, team: str) -> int:
        """Return the free tokens of the pool that can be drawn now."""
        if self.is_store_unavailable:
            return 0
        return self.ledger.free(team, self._prepaid(team) or 0)

    async def draw(self, team: str, need: int) -> None:
        """Draw tokens until the team's account holds `need`, if the pool can.

        A need that the pool does not cover draws nothing. Tokens ahead of
        demand are drawn in the same write, which serves all waiting calls.
        Concurrent calls may take its tokens first, so the draw
        is repeated up to MAX_DRAW_ATTEMPTS times.
        """
        for _ in range(MAX_DRAW_ATTEMPTS):
            missing = need - self._account(team).free
            if self._is_uncovered(team, missing) or self.is_store_unavailable:
                return
            self._pending.needs[team].append(need)
            try:
                async with asyncio.timeout(WRITE_WAIT_S):
                    await self._write_after(self._writes)
            except TimeoutError:
                # The write goes on; its tokens are for later requests.
                return
            finally:
                self._pending.needs[team].remove(need)
            missing = need - self._account(team).free
            if missing <= 0:
                return
            prepaid = self._prepaid(team) or 0
            if self.ledger.free(team, prepaid) < missing:
                self._uncovered[team] = self._clock(), missing

    def _is_uncovered(self, team: str, missing: int) -> bool:
        """State whether the pool could not cover as much lately."""
        noted_at, uncovered = self._uncovered.get(team, (-math.inf, 0))
        is_recent = self._clock() - noted_at < EMPTY_POOL_PAUSE_S
        return is_recent and missing >= uncovered

    async def renew(self, renewal: Renewal) -> Renewed | None:
        """Renew the reserve of a host with the next write.

        Return None unless the write is confirmed.
        """
        self._note_start(renewal)
        is_report = renewal.number == START_REPORT
        # The ledger known here may be outdated, so what the host believes to
        # hold is checked against the stored one.
        is_held = (
            renewal.host in self.ledger.reserves
            or renewal.opened
            or renewal.believed
        )
        is_due = is_held or (not is_report and bool(self._reserve_targets()))
        if self.is_known and not is_due:
            return Renewed(renewal.number, {}, {})
        writes = self._writes
        self._pending.renewals[renewal.host] = renewal
        # All hosts renew at about the same time: batch them in one write.
        await asyncio.sleep(RENEWAL_BATCH_S)
        if self.is_store_unavailable:
            return None
        if not await self._write_after(writes):
            return None
        row = self.ledger.reserves.get(renewal.host)
        is_own = row is not None and row.holder == renewal.holder
        if is_report and row and not is_own:
            # The reserve of the earlier process is not resolved yet.
            return None
        held = row.parts if is_own else {}
        is_current = not is_own or row.number == renewal.number
        if not is_current:
            return None
        return Renewed(
            renewal.number, held, self._reserve_targets(), self.remembered
        )

    async def refill(self) -> None:
        """Write the ledger if a team's tokens are far from the target."""
        has_written = self._clock() - self._written_at < WRITE_PERIOD_S
        if has_written or self.is_store_unavailable:
            return
        is_low = any(self._is_low(team) for team in self._teams())
        if self._writer.is_forgotten or is_low:
            await self._write_after(self._writes)

    async def write_remembered(self) -> None:
        """Write what only this daemon remembers after a restore."""
        if self._writer.knows_more and not self.is_store_unavailable:
            await self._write_after(self._writes)

    def end_pause(self) -> None:
        """End the pause after a failed store call."""
        self._failed_at = -math.inf

    async def return_all(self, teams: Mapping[str, TeamAccount]) -> None:
        """Return all free tokens to the pool and hold none afterwards."""
        self._is_closing = True
        for team, account in teams.items():
            self._pending.returned[team] += account.take_free(account.free)
        if any(self._pending.returned.values()):
            await self._write_after(self._writes)

    def _teams(self) -> set[str]:
        return {
            team
            for team in self._demand.keys() | self.ledger.teams.keys()
            if self._prepaid(team) is not None
        }

    def _is_low(self, team: str) -> bool:
        held = self.holding_targets(team)
        account = self._account(team)
        if account.free > RETURN_ABOVE_RATIO * held.working:
            return True
        is_low = account.free < REFILL_BELOW_RATIO * held.working
        return is_low and self._spare_in_pool(team, held) > 0

    def _spare_in_pool(self, team: str, held: HoldingTargets) -> int:
        """Return the free tokens of the pool, up to the working target."""
        return min(
            held.working, self.ledger.free(team, self._prepaid(team) or 0)
        )

    async def _write_after(self, writes: int) -> bool:
        """Return whether a write that began after `writes` has succeeded.

        A cancelled caller doesn't cancel the write, which others share.
        """
        return await asyncio.shield(
            self._tasks.spawn(self._write_in_turn(writes))
        )

    async def _write_in_turn(self, writes: int) -> bool:
        async with self._lock:
            if self._writes == writes:
                self._write_began_at = self._clock()
                try:
                    await self._write()
                finally:
                    self._write_began_at = math.inf
            return not self._is_store_failing

    async def _write(self) -> None:
        """Write the pending needs, returns and renewals.

        Tokens are credited only once the write is confirmed and shared.
        """
        self._writes += 1
        self._written_at = self._clock()
        wanted = self._pending
        self._pending = _PendingWrite(needs=wanted.needs)
        reports: Counter[str] = Counter()
        try:
            written = await self._writer.write(
                lambda ledger, position: self._entry(
                    wanted, reports, ledger, position
                )
            )
        except StoreError as error:
            self._note_failure(error)
            # A write with a lost answer may be applied: _resolve credits it
            # or takes it back once that is known.
            if not isinstance(error, StoreAnswerLostError):
                self._undo_write(wanted.returned, reports)
            return
        if self.remembered:
            # A restored store may forget this write, and this daemon may die.
            await self._share(self.remembered)
        if self._is_store_failing:
            log.info('store available again for grants')
        self._is_store_failing = False
        self._credit(written)

    def _entry(
        self,
        wanted: _PendingWrite,
        reports: Counter[str],
        ledger: GrantLedger,
        position: int,
    ) -> LedgerEntry:
        teams = self._teams() | wanted.needs.keys() | wanted.returned.keys()
        team_requests = {}
        for team in teams:
            team_request = self._team_request(team, wanted, reports, ledger)
            if team_request:
                team_requests[team] = team_request
        return LedgerEntry(
            holder=self._holder,
            position=position,
            team_requests=team_requests,
            reserves=tuple(self._reserve_changes(wanted.renewals, ledger)),
        )

    def _team_request(
        self,
        team: str,
        wanted: _PendingWrite,
        reports: Counter[str],
        ledger: GrantLedger,
    ) -> TeamRequest | None:
        prepaid = self._prepaid(team)
        if prepaid is None:
            return None
        account = self._account(team)
        reports[team] += account.take_unreported()
        available = account.free + ledger.free(team, prepaid)
        need = _coverable(wanted.needs[team], available)
        ahead = 0
        if self._leads():
            working = self.holding_targets(team).working
            # Tokens of an earlier write may be granted to calls that have not
            # taken them yet.
            kept = int(RETURN_ABOVE_RATIO * working) + sum(wanted.needs[team])
            surplus = account.free - kept
            wanted.returned[team] += account.take_free(surplus)
            after = max(0, account.free - need)
            ahead = max(0, working - after)
        return TeamRequest(
            prepaid=prepaid,
            need=max(0, need - account.free),
            ahead=ahead,
            returned=wanted.returned[team],
            settled=reports[team],
        )

    def _reserve_changes(
        self, renewals: Mapping[str, Renewal], ledger: GrantLedger
    ) -> list[ReserveChange]:
        """Return the renewals to write.

        The first renewal after a crash waits until other hosts prove what the
        process before had opened, for RESOLVE_WAIT_S at most.
        """
        passed = self._passed_times(ledger)
        targets = self._reserve_targets()
        limits = self._reserve_limits()
        changes = []
        for host, renewal in renewals.items():
            row = ledger.reserves.get(host)
            passed_s = passed.get(host, math.inf)
            if row and row.holder != renewal.holder:
                if math.isinf(passed_s) and not self._has_waited(host):
                    continue
                self._note_resolved(row, renewal, passed_s)
            changes.append(
                ReserveChange(
                    renewal=renewal,
                    targets={} if renewal.number == START_REPORT else targets,
                    limits=limits,
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
            'reserve of a crashed process resolved',
            host=renewal.host,
            passed_s=round(passed_s, 3),
            tokens=sum(part.tokens for part in row.parts.values()),
            is_same_boot=started.boot_id == stamp.boot_id,
            boot_passed_s=round(started.boot_s - stamp.boot_s, 3),
            wall_passed_s=round(wall_passed_s, 3),
        )

    def _passed_times(self, ledger: GrantLedger) -> dict[str, float]:
        dead: dict[str, ReserveRow] = {}
        for host, row in ledger.reserves.items():
            start = self._starts.get(host)
            is_alive = start is not None and start.holder == row.holder
            is_renewing = self._watch.is_renewing(host, self._clock())
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
            if self._clock() - resolved_at < RESOLVE_WAIT_S and host not in dead
        }
        return passed_times(dead, starts, known_s)

    def _note_start(self, renewal: Renewal) -> None:
        now = self._clock()
        if renewal.number != START_REPORT:
            self._watch.note(renewal.host, now)
        known = self._starts.get(renewal.host)
        if known is None or known.holder != renewal.holder:
            self._starts[renewal.host] = _ProcessStart(
                renewal.holder, renewal.started, now
            )

    def _has_waited(self, host: str) -> bool:
        return self._clock() - self._starts[host].first_seen_at > RESOLVE_WAIT_S

    def _reserve_targets(self) -> dict[str, ReservePart]:
        """Return the equal share of the reserves for each renewing host.

        Hosts that have not renewed since this daemon became the allocator keep
        what they hold.
        """
        now = self._clock()
        hosts = self.ledger.reserves.keys()
        kept_by = {
            host for host in hosts if not self._watch.is_renewing(host, now)
        }
        kept_by -= self._watch.silent(hosts, now)
        renewing = max(1, self._watch.renewing(now))
        targets = {}
        for team in self._teams():
            held = self.holding_targets(team)
            kept = self.ledger.reserved(team, kept_by)
            tokens = max(0, held.reserve - kept) // renewing
            if tokens:
                targets[team] = ReservePart(tokens, held.open_s)
        return targets

    def _reserve_limits(self) -> dict[str, int]:
        """Return what all hosts may hold in reserve together, by team."""
        return {
            team: self.holding_targets(team).reserve + self._stranded(team)
            for team in self._teams()
        }

    def _stranded(self, team: str) -> int:
        """Return the tokens in reserves that may never be renewed again."""
        hosts = self._lost_hosts()
        return self.ledger.reserved(team, hosts) if hosts else 0

    def _lost_hosts(self) -> frozenset[str]:
        """Return the hosts whose reserves may never be renewed again."""
        rows = self.ledger.reserves
        hosts = frozenset(self._watch.silent(rows, self._clock())).union(
            host for host, row in rows.items() if self._has_ended(host, row)
        )
        if hosts != self._known_lost:
            self._known_lost = hosts
            log.info(
                'reserves count as stranded',
                hosts=sorted(hosts),
                reserves=len(rows),
                version=self.version,
            )
        return hosts

    def _has_ended(self, host: str, row: ReserveRow) -> bool:
        """State whether another process of the host has started since."""
        start = self._starts.get(host)
        return start is not None and start.holder != row.holder

    def _credit(self, written: Written) -> None:
        for team, granted in written.granted.items():
            self._account(team).credit(granted)
        self._log(written)

    def _resolve(self, written: Written, was_applied: bool) -> None:
        """Credit a write whose answer was lost, or take back its reports."""
        if was_applied:
            self._credit(written)
            return
        for team, team_request in written.entry.team_requests.items():
            self._account(team).credit(team_request.returned)
            self._account(team).add_unreported(team_request.settled)

    def _undo_write(
        self, returned: Counter[str], reports: Counter[str]
    ) -> None:
        for team, tokens in returned.items():
            self._account(team).credit(tokens)
        for team, tokens in reports.items():
            self._account(team).add_unreported(tokens)

    def _note_failure(self, error: StoreError) -> None:
        if not self._is_store_failing:
            log.warning('store unavailable for grants', error=error.message)
        self._is_store_failing = True
        self._failed_at = self._clock()

    def _log(self, written: Written) -> None:
        """Log granted, returned, charged, reserved and settled tokens."""
        ledger = self.ledger
        changed = {}
        for team, team_request in written.entry.team_requests.items():
            granted = written.granted[team]
            if granted or team_request.returned or team_request.settled:
                row = ledger.team(team)
                changed[team] = (
                    granted,
                    team_request.returned,
                    row.charged,
                    ledger.reserved(team),
                    row.settled,
                )
        log.info(
            'ledger written',
            version=self.version,
            position=written.entry.position,
            teams=changed,
            reserves=len(ledger.reserves),
        )


def _coverable(needs: Sequence[int], available: int) -> int:
    """Return the sum of those needs, in their order, that can be met whole."""
    covered = 0
    for need in needs:
        if covered + need <= available:
            covered += need
    return covered
