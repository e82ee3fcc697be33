"""Grants of all teams: drawn through the allocator of the fleet.

A daemon draws what a request needs from the allocator, or from another daemon
that reaches the store if it can't be reached. Without the store, daemons lend
to each other what they hold, and open their reserves.
"""

import asyncio
import math
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import structlog

from oriolegauge.core.taskset import TaskSet
from oriolegauge.grants.errors import (
    GrantUnavailableError,
    PrepaidExhaustedError,
)
from oriolegauge.grants.grantallocator import GrantAllocator, Renewed
from oriolegauge.grants.grantledger import Renewal
from oriolegauge.grants.holdingtargets import OWN_S, WRITE_PERIOD_S
from oriolegauge.grants.hostreserve import HostReserve
from oriolegauge.grants.hosttimes import HostTimes
from oriolegauge.grants.teamaccount import TeamAccount
from oriolegauge.objectstore import ObjectStore

LEDGER = 'ledger'
# A request waits this long for a peer that lends, and for an allocator that may
# have to write to a slow store first.
LOAN_WAIT_S = 0.25
DRAW_WAIT_S = 0.5
# A request waits for reserves only for this share of its time, and those that
# wait go on spread over this time.
OPENING_WAIT_SHARE = 0.5
OPENING_SPREAD_S = 0.6
MAX_OPENING_WAITS = 4
# A daemon that has not heard of closed reserves for this time waits no more.
OPENED_S = 1.0
TICK_S = 0.25
# Below this part of its target an account is filled up before it runs dry.
LOW_SHARE = 0.5
# Above this multiple of its target an account hands tokens back.
HIGH_SHARE = 2.0
# Tokens below this share of a budget are not worth a message.
MIN_HAND_BACK_SHARE = 0.001
# Tokens handed back follow one another at least this long.
HAND_BACK_GAP_S = 1.0
MIN_PAUSE_S = 0.05
# Renewals that give a reserve up, when a daemon stops.
GIVE_UP_TRIES = 3
# In an outage the allocator collects for this time of demand at once.
COLLECT_S = 0.5
# A daemon holds nothing ahead of fewer requests than this: the sums of many
# daemons that each hold a little would strand small budgets.
MIN_EXPECTED_REQUESTS = 1.0
# Part of what the allocator holds that one draw may get ahead of demand.
AHEAD_SHARE = 0.2
# Unspent tokens of others count for 3% of the prepaid amount at the end, so a
# team is told that its budget is spent only when less than this is unspent.
UNSPENT_SHARE = 0.03
# Tokens that other requests hold are free again soon.
RETRY_AFTER_S = 0.4
# Without the store nothing is free before it is back: outages last 2 to 9 s.
# Callers that return at different times meet accounts that fill up in turn.
OUTAGE_RETRY_AFTER_S = (1.5, 4.0)

log = structlog.get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class DrawRequest:
    """Ask the allocator for tokens and tell it what was spent since."""

    team: str
    need: int
    ahead: int
    spent: int


@dataclass(frozen=True, slots=True)
class DrawResult:
    """Tell what was given, and whether the store could be asked for more.

    `unspent` counts the team's tokens that are not known to be spent. Reserves
    may be opened in `opens_in_s`, if there are any.
    """

    tokens: int
    reached_store: bool
    unspent: int | None = None
    opens_in_s: float | None = None


class GrantPeers(Protocol):
    """Reach the other daemons."""

    async def wait_for_members(self) -> None:
        """Wait until the fleet is known, for a moment after the start."""

    def allocator(self) -> str | None:
        """Return the peer that writes the ledger, None if it is this one."""

    def fallback_allocators(self) -> Sequence[str]:
        """Return peers to draw through if the allocator can't, best first."""

    def holds_reserve(self) -> bool:
        """State whether this daemon is one of those that hold reserves."""

    async def draw(self, peer: str, draw: DrawRequest) -> DrawResult | None:
        """Return the tokens given, or None if the peer can't be reached."""

    def note_unresponsive(self, peer: str) -> None:
        """Take note that a peer has not answered in time."""

    def lenders(self) -> Collection[str]:
        """Return the peers that may hold much."""

    async def borrow(self, peer: str, team: str, tokens: int) -> int:
        """Take up to that many unspent tokens of a team from a peer."""

    async def renew(self, peer: str, renewal: Renewal) -> Renewed | None:
        """Have a reserve renewed; return None if that is not certain."""

    async def hand_over(self, peer: str, team: str, tokens: int) -> bool:
        """Give tokens to the peer; False only if it can't have got them."""


class HostClocks(Protocol):
    """Read the clocks of this host."""

    @property
    def started(self) -> HostTimes:
        """Return what they showed when the process began."""

    def now(self) -> HostTimes:
        """Return what they show."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Hold tokens of a team for one request."""

    team: str
    tokens: int


class GrantKeeper:
    """Reserve and settle tokens; keep accounts in step with demand."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        kind: str,
        host: str,
        holder: str,
        peers: GrantPeers,
        prepaid: Callable[[str], int | None],
        reaches_store: Callable[[], bool],
        clock: Callable[[], float],
        host_clocks: HostClocks,
        rng: random.Random,
    ) -> None:
        """Act as `holder`, a name that no other process start ever uses.

        `host` names the place of the process; the next one there has the same
        name and clocks. `prepaid` returns a team's prepaid tokens, None if it
        has no budget. One object of the kind in the store holds all teams; the
        store is not called while `reaches_store` is false.
        """
        self._peers = peers
        self._prepaid = prepaid
        self._reaches_store = reaches_store
        self._clock = clock
        self._host_clocks = host_clocks
        self._rng = rng
        self._accounts: dict[str, TeamAccount] = {}
        self._unspent: dict[str, int] = {}
        self._handed_back_at: dict[str, float] = {}
        # When the reserves of others may be opened, as the allocator said.
        self._opens_at = -math.inf
        self._allocator = GrantAllocator(
            store=store,
            key=f'{kind}/{LEDGER}',
            holder=holder,
            account=self._account,
            prepaid=prepaid,
            reaches_store=reaches_store,
            clock=clock,
        )
        self._reserve = HostReserve(
            host=host, holder=holder, started=host_clocks.started
        )
        self._tasks = TaskSet()

    @property
    def free(self) -> Mapping[str, int]:
        """Return the unspent tokens held here per team."""
        return {team: held.free for team, held in self._accounts.items()}

    @property
    def is_store_unavailable(self) -> bool:
        """State whether the ledger can't be written from here."""
        return self._allocator.is_store_unavailable

    async def reserve(
        self, team: str, tokens: int, until: float = math.inf
    ) -> Reservation | None:
        """Set tokens aside, or return None for a team without a budget.

        Raise PrepaidExhaustedError or GrantUnavailableError. In an outage the
        call waits for reserves that may be opened soon, if that leaves most of
        the time until the loop time `until`.
        """
        prepaid = self._prepaid(team)
        if prepaid is None:
            return None
        self._account(team).note_demand(tokens, self._clock())
        latest = self._clock() + (until - self._clock()) * OPENING_WAIT_SHARE
        for _ in range(MAX_OPENING_WAITS):
            if await self._meet(team, tokens):
                return Reservation(team, tokens)
            wait_s = self._opening_wait_s()
            if wait_s is None or self._clock() + wait_s > latest:
                break
            await asyncio.sleep(wait_s)
        refusal = self._refusal(team, tokens, prepaid)
        # What was collected for this request may meet a smaller one elsewhere.
        self._adjust(team)
        raise refusal

    def settle(self, reservation: Reservation, used: int) -> None:
        """Charge the tokens used and free the rest."""
        account = self._account(reservation.team)
        account.settle(reservation.tokens, used)

    def lend(self, team: str, tokens: int) -> int:
        """Hand unspent tokens to a peer; they are the peer's afterwards."""
        held = self._accounts.get(team)
        lent = held.take_free(tokens) if held else 0
        return lent + self._open(team, tokens - lent)

    def take_over(self, team: str, tokens: int) -> None:
        """Add tokens that a peer has handed over."""
        self._account(team).credit(tokens)

    async def serve_draw(self, draw: DrawRequest) -> DrawResult:
        """Give tokens to a peer that takes this daemon for the allocator."""
        team = draw.team
        if self._prepaid(team) is None:
            return DrawResult(0, reached_store=True)
        account = self._account(team)
        account.take_report(draw.spent)
        if account.free < draw.need:
            await self._allocator.draw(team, draw.need)
        if account.free < draw.need:
            more = int(account.rate(self._clock()) * COLLECT_S)
            await self._collect(team, draw.need - account.free + more)
        others_need = self._allocator.waiting(team)
        spare = max(0, account.free - draw.need - others_need)
        ahead = min(draw.ahead, int(spare * AHEAD_SHARE))
        given = account.take_free(draw.need + ahead)
        self._allocator.note_demand(team, given)
        if given < draw.need:
            log.info('draw not met', given=given, **self._state(team))
        is_lost = self._allocator.is_store_unavailable
        now_s = self._host_clocks.now().boot_s
        return DrawResult(
            given,
            reached_store=not is_lost,
            unspent=self._allocator.unspent(team),
            opens_in_s=self._reserve.opens_in_s(now_s) if is_lost else None,
        )

    async def renew(self, renewal: Renewal) -> Renewed | None:
        """Renew the reserve of a peer."""
        return await self._allocator.renew(renewal)

    async def run(self) -> None:
        """Fill up and hand back accounts until cancelled."""
        await self._peers.wait_for_members()
        while True:
            await asyncio.sleep(TICK_S)
            for team in list(self._accounts):
                self._adjust(team)
            if self._peers.allocator() is None:
                self._tasks.spawn(self._allocator.tick())

    async def run_reserve(self) -> None:
        """Keep the reserve of this host renewed until cancelled."""
        await self._peers.wait_for_members()
        while True:
            began_at = self._clock()
            if self._peers.holds_reserve() or not self._reserve.is_empty:
                await self._renew_reserve()
            # Those that were written together follow together.
            passed_s = self._clock() - began_at
            await asyncio.sleep(max(MIN_PAUSE_S, WRITE_PERIOD_S - passed_s))

    def store_regained(self) -> None:
        """Fill up the accounts that an outage has left low."""
        self._allocator.end_pause()
        for team in list(self._accounts):
            self._adjust(team)

    async def close(self) -> None:
        """Give up all unspent tokens; no request may be reserved after."""
        await asyncio.gather(
            self._give_up_reserve(),
            *(self._give_up(team) for team in self._accounts),
        )
        await self._allocator.give_back(self._accounts)

    async def _give_up_reserve(self) -> None:
        for _ in range(GIVE_UP_TRIES):
            self._reserve.give_up()
            if self._reserve.is_empty:
                return
            await self._renew_reserve()

    async def _give_up(self, team: str) -> None:
        account = self._account(team)
        tokens = account.take_free(account.free)
        allocator = self._peers.allocator()
        if allocator and await self._peers.hand_over(allocator, team, tokens):
            return
        account.credit(tokens)

    async def _renew_reserve(self) -> None:
        renewal = self._reserve.renewal(self._host_clocks.now())
        allocator = self._peers.allocator()
        if allocator is None:
            renewed = await self._allocator.renew(renewal)
        else:
            renewed = await self._peers.renew(allocator, renewal)
        if renewed:
            targets = renewed.targets if self._peers.holds_reserve() else {}
            self._reserve.confirm(renewed.number, renewed.held, targets)

    async def _meet(self, team: str, tokens: int) -> bool:
        """Set tokens aside, from wherever they can be had; return success.

        What was found so far belongs to this request, so that two of them don't
        both count on it.
        """
        account = self._account(team)
        found = account.take_free(tokens)
        try:
            for source in (self._obtain, self._collect):
                if found == tokens:
                    break
                await self._peers.wait_for_members()
                await source(team, tokens - found)
                found += account.take_free(tokens - found)
        finally:
            if found < tokens:
                account.credit(found)
        return found == tokens

    def _opening_wait_s(self) -> float | None:
        """Return how long to wait for reserves to open, if at all."""
        now = self._clock()
        opens_at = self._opens_at
        own_s = self._reserve.opens_in_s(self._host_clocks.now().boot_s)
        if own_s is not None and self._allocator.is_store_unavailable:
            opens_at = max(opens_at, now + own_s)
        if opens_at < now - OPENED_S:
            return None
        # Callers that wait for the same moment don't all go on in it; what is
        # open already grows with the time.
        spread_s = self._rng.uniform(OPENING_SPREAD_S / 2, OPENING_SPREAD_S)
        return max(0, opens_at - now) + spread_s

    def _adjust(self, team: str) -> None:
        prepaid = self._prepaid(team)
        allocator = self._peers.allocator()
        if prepaid is None or allocator is None:
            return
        account = self._account(team)
        target = self._target(team)
        surplus = account.free - int(target * HIGH_SHARE)
        if surplus > prepaid * MIN_HAND_BACK_SHARE:
            self._tasks.spawn(self._hand_back(allocator, team, surplus))
        elif account.free < target * LOW_SHARE:
            self._tasks.spawn(self._obtain(team, 0))

    async def _hand_back(self, allocator: str, team: str, tokens: int) -> None:
        now = self._clock()
        last = self._handed_back_at.get(team, -math.inf)
        if now - last < HAND_BACK_GAP_S:
            return
        self._handed_back_at[team] = now
        account = self._account(team)
        taken = account.take_free(tokens)
        if not await self._peers.hand_over(allocator, team, taken):
            account.credit(taken)

    async def _collect(self, team: str, missing: int) -> None:
        """Take what this host has in reserve, and what others can lend."""
        account = self._account(team)
        opened = self._open(team, missing)
        account.credit(opened)
        if opened >= missing:
            return
        loans = [
            self._tasks.spawn(self._borrow(peer, team, missing - opened))
            for peer in self._peers.lenders()
        ]
        if loans:
            await asyncio.wait(loans, timeout=LOAN_WAIT_S)

    async def _borrow(self, peer: str, team: str, tokens: int) -> None:
        self._account(team).credit(await self._peers.borrow(peer, team, tokens))

    def _open(self, team: str, tokens: int) -> int:
        opened = self._reserve.open(
            team, tokens, self._host_clocks.now().boot_s
        )
        if opened:
            log.info('reserve opened', team=team, tokens=opened)
        return opened

    async def _obtain(self, team: str, need: int) -> None:
        """Draw the need, and up to the target if there is plenty."""
        account = self._account(team)
        ahead = max(0, self._target(team) - account.free - need)
        allocator = self._peers.allocator()
        if allocator is None:
            await self._allocator.draw(team, account.free + need)
            missing = need if self._allocator.is_store_unavailable else 0
        else:
            missing = await self._draw_from(allocator, team, need, ahead)
        for peer in self._peers.fallback_allocators():
            if not missing:
                return
            missing = await self._draw_from(peer, team, missing, 0)
        if missing and allocator is not None:
            await self._allocator.draw(team, account.free + missing)

    async def _draw_from(
        self, peer: str, team: str, need: int, ahead: int
    ) -> int:
        """Draw through a peer; return the need that others may still meet.

        An answer that comes late, or after its request has left, is credited
        all the same: its tokens are nobody else's.
        """
        account = self._account(team)
        draw = DrawRequest(
            team=team, need=need, ahead=ahead, spent=account.report()
        )
        answer = self._tasks.spawn(self._draw(peer, draw))
        done, _ = await asyncio.wait({answer}, timeout=DRAW_WAIT_S)
        if not done:
            self._peers.note_unresponsive(peer)
            return need
        given = answer.result()
        if given is None:
            return need
        return 0 if given.reached_store else max(0, need - given.tokens)

    async def _draw(self, peer: str, draw: DrawRequest) -> DrawResult | None:
        account = self._account(draw.team)
        given = await self._peers.draw(peer, draw)
        if given is None:
            account.take_report(draw.spent)
            return None
        account.credit(given.tokens)
        if given.unspent is not None:
            self._unspent[draw.team] = given.unspent
        if given.opens_in_s is not None:
            self._opens_at = self._clock() + given.opens_in_s
        return given

    def _target(self, team: str) -> int:
        """Return the tokens that this daemon should hold free for itself."""
        now = self._clock()
        account = self._account(team)
        expected = account.expected_requests(now, OWN_S)
        if expected < MIN_EXPECTED_REQUESTS:
            return 0
        return int(account.rate(now) * OWN_S)

    def _refusal(
        self, team: str, tokens: int, prepaid: int
    ) -> PrepaidExhaustedError | GrantUnavailableError:
        state = self._state(team)
        log.info('grant refused', tokens=tokens, **state)
        unspent = state['unspent']
        is_spent = unspent is not None and (
            unspent < tokens + prepaid * UNSPENT_SHARE
        )
        if is_spent:
            return PrepaidExhaustedError(
                f'{unspent} of {prepaid} prepaid tokens are unspent'
            )
        return GrantUnavailableError(
            f'no grant of {tokens} tokens at the moment',
            retry_after_s=self._retry_after_s(),
        )

    def _retry_after_s(self) -> float:
        if self._reaches_store():
            return RETRY_AFTER_S
        return self._rng.uniform(*OUTAGE_RETRY_AFTER_S)

    def _state(self, team: str) -> Mapping[str, Any]:
        """Return what a refusal rests on, for the logs."""
        prepaid = self._prepaid(team) or 0
        allocator = self._peers.allocator()
        is_own = allocator is None
        unspent = self._allocator.unspent(team) if is_own else None
        if unspent is None:
            unspent = self._unspent.get(team)
        return {
            'team': team,
            'prepaid': prepaid,
            'unspent': unspent,
            'pool': self._allocator.book.free(team, prepaid)
            if is_own
            else None,
            'held': self._account(team).free,
            'in_reserve': self._reserve.held(team),
            'allocator': allocator,
            'version': self._allocator.version,
            'store_lost': self._allocator.is_store_unavailable,
        }

    def _account(self, team: str) -> TeamAccount:
        found = self._accounts.get(team)
        if found is None:
            found = self._accounts[team] = TeamAccount(self._clock())
        return found
