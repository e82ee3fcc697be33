"""Grants of prepaid tokens for the requests of one daemon.

A daemon draws what a request needs from the allocator of the fleet or, if that
is unreachable, from another daemon that reaches the store. In a store outage
daemons open their reserves and borrow tokens from each other.
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
from oriolegauge.grants.grantprocess import GrantProcess
from oriolegauge.grants.holdingtargets import (
    DAEMON_AHEAD_S,
    LOST_SHARE,
    WRITE_PERIOD_S,
)
from oriolegauge.grants.hostreserve import HostReserve
from oriolegauge.grants.hosttimes import HostTimes
from oriolegauge.grants.ledgerrecovery import LedgerCopy
from oriolegauge.grants.outagetimes import (
    MAX_OPENING_WAITS,
    OPENING_WAIT_SHARE,
    OutageTimes,
)
from oriolegauge.grants.teamaccount import TeamAccount
from oriolegauge.objectstore import RestorableStore

LEDGER = 'ledger'
# Timeouts of a request for loans of peers, and for a draw, where the allocator
# may have to write to a slow store first.
LOAN_WAIT_S = 0.25
DRAW_WAIT_S = 0.5
# Longest time of the draws of a request from all sources together. What none of
# them gives by then must come from reserves and loans.
ALL_DRAWS_WAIT_S = 0.6
ADJUST_PERIOD_S = 0.25
# More tokens are drawn for an account below this share of its target.
REFILL_BELOW_RATIO = 0.5
# Tokens above this multiple of its target are returned from an account.
RETURN_ABOVE_RATIO = 2.0
# A surplus below this share of a budget is not returned, to save messages.
MIN_RETURN_SHARE = 0.001
# Least time between two returns of a team's tokens.
RETURN_INTERVAL_S = 1.0
MIN_PAUSE_S = 0.05
# Renewals sent at most to release the reserve, when a daemon stops.
RELEASE_ATTEMPTS = 3
# In an outage the allocator collects tokens for this time of demand beyond a
# need.
OUTAGE_AHEAD_S = 0.5
# A daemon that expects fewer requests holds nothing ahead: in a large fleet, a
# few tokens at each daemon would use up a small budget.
MIN_EXPECTED_REQUESTS = 1.0
# Share of the allocator's spare tokens that a draw may get ahead of demand.
AHEAD_SHARE = 0.2
# Up to 3% of a budget may be unspent but held by other daemons at the end, so a
# budget is reported as exhausted once less than this share is left.
EXHAUSTED_BELOW_SHARE = 0.03

log = structlog.get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class DrawRequest:
    """Ask the allocator for tokens and report those spent since the last.

    `need` is for a request, `ahead` for later ones.
    """

    team: str
    need: int
    ahead: int
    spent: int


@dataclass(frozen=True, slots=True)
class DrawResult:
    """Return the tokens granted, and whether the store could be asked for more.

    `unspent` counts the team's tokens not reported as spent, if known. Reserves
    may be opened in `opens_in_s` seconds; None unless the store is unavailable.
    """

    tokens: int
    reached_store: bool
    unspent: int | None = None
    opens_in_s: float | None = None


class GrantPeers(Protocol):
    """Reach the other daemons."""

    async def wait_for_members(self) -> None:
        """Wait after a start until the members of the fleet are known."""

    def allocator(self) -> str | None:
        """Return the peer that writes the ledger, None if it is this one."""

    def is_cut_off(self) -> bool:
        """State whether this daemon is not linked to the fleet."""

    def fallback_allocators(self) -> Sequence[str]:
        """Return peers that draw if the allocator can't, best first."""

    def holds_reserve(self) -> bool:
        """State whether this daemon should hold a reserve."""

    async def draw(self, peer: str, draw: DrawRequest) -> DrawResult | None:
        """Draw tokens from a peer; return None if it is unreachable."""

    def note_unresponsive(self, peer: str) -> None:
        """Note that a peer did not answer in time."""

    def lenders(self) -> Collection[str]:
        """Return the peers that may have tokens to lend."""

    async def lendable(self, peer: str, team: str) -> int | None:
        """Ask what a peer can lend; return None if it does not tell."""

    async def borrow(self, peer: str, team: str, tokens: int) -> int:
        """Take up to that many unspent tokens of a team from a peer."""

    async def renew(self, peer: str, renewal: Renewal) -> Renewed | None:
        """Have a peer renew a reserve; return None unless it is confirmed."""

    async def is_answering(self, peer: str, team: str) -> bool:
        """Ask whether a peer can take over tokens of the team now."""

    async def hand_over(self, peer: str, team: str, tokens: int) -> bool:
        """Transfer tokens; return False only if the peer can't have them."""

    async def share_ledger(self, copy: LedgerCopy) -> None:
        """Have peers remember a ledger; return once one of them does."""

    async def remembered_ledgers(self) -> Sequence[LedgerCopy]:
        """Return the newest ledger that each reachable peer remembers."""


class HostClocks(Protocol):
    """Read the clocks of this host."""

    @property
    def started(self) -> HostTimes:
        """Return the clocks at the start of the process."""

    def now(self) -> HostTimes:
        """Return the clocks now."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Hold tokens of a team for one request."""

    team: str
    tokens: int


class GrantKeeper:
    """Reserve and settle tokens of requests; hold tokens ahead of demand."""

    def __init__(
        self,
        *,
        store: RestorableStore,
        kind: str,
        process: GrantProcess,
        peers: GrantPeers,
        prepaid: Callable[[str], int | None],
        reaches_store: Callable[[], bool],
        clock: Callable[[], float],
        host_clocks: HostClocks,
        rng: random.Random,
    ) -> None:
        """Act as `process`.

        `prepaid` returns a team's prepaid tokens, None if it has no budget. The
        ledger of all teams is one object of `kind` in the store, which is not
        called while `reaches_store` returns false.
        """
        self._peers = peers
        self._prepaid = prepaid
        self._reaches_store = reaches_store
        self._clock = clock
        self._host_clocks = host_clocks
        self._accounts: dict[str, TeamAccount] = {}
        self._unspent: dict[str, int] = {}
        self._returned_at: dict[str, float] = {}
        self._outage = OutageTimes(rng)
        self._allocator = GrantAllocator(
            store=store,
            key=f'{kind}/{LEDGER}',
            process=process,
            account=self._account,
            leads=self._leads,
            prepaid=prepaid,
            reaches_store=reaches_store,
            remembered_by_peers=peers.remembered_ledgers,
            share=peers.share_ledger,
            clock=clock,
        )
        self._reserve = HostReserve(
            host=process.host,
            holder=process.holder,
            started=host_clocks.started,
        )
        self._tasks = TaskSet()

    @property
    def free(self) -> Mapping[str, int]:
        """Return the unspent tokens that this daemon holds, by team."""
        return {team: held.free for team, held in self._accounts.items()}

    @property
    def is_store_unavailable(self) -> bool:
        """State whether this daemon can't write the ledger at the moment."""
        return self._allocator.is_store_unavailable

    @property
    def remembered_ledger(self) -> LedgerCopy | None:
        """Return the newest ledger that this daemon knows to be stored."""
        return self._allocator.remembered

    async def reserve(
        self, team: str, tokens: int, until: float = math.inf
    ) -> Reservation | None:
        """Reserve tokens for a request; return None without a budget.

        Raise PrepaidExhaustedError or GrantUnavailableError. In an outage, wait
        for reserves to open if that takes no more than OPENING_WAIT_SHARE of
        the time until the loop time `until`.
        """
        prepaid = self._prepaid(team)
        if prepaid is None:
            return None
        latest = self._clock() + (until - self._clock()) * OPENING_WAIT_SHARE
        for _ in range(MAX_OPENING_WAITS):
            if await self._acquire(team, tokens):
                self._account(team).note_demand(tokens, self._clock())
                return Reservation(team, tokens)
            wait_s = self._outage.opening_wait_s(
                team, self._opens_in_s(team, tokens), self._clock()
            )
            if wait_s is None or self._clock() + wait_s > latest:
                break
            await asyncio.sleep(wait_s)
        if tokens <= self._known_unspent(team, prepaid):
            # Larger requests can't be served, whatever is held ahead.
            self._account(team).note_demand(tokens, self._clock())
        refusal = self._refusal(team, tokens, prepaid)
        # Tokens collected for this request may suffice for a smaller one
        # elsewhere.
        self._adjust(team)
        raise refusal

    def settle(self, reservation: Reservation, used: int) -> None:
        """Charge the tokens used and free the rest."""
        account = self._account(reservation.team)
        account.settle(reservation.tokens, used)

    def lendable(self, team: str) -> int:
        """Return the unspent tokens that a peer may borrow now."""
        held = self._accounts.get(team)
        now_s = self._host_clocks.now().boot_s
        return (held.free if held else 0) + self._reserve.openable(team, now_s)

    def lend(self, team: str, tokens: int) -> int:
        """Take up to that many unspent tokens for a peer; return how many."""
        held = self._accounts.get(team)
        lent = held.take_free(tokens) if held else 0
        return lent + self._open(team, tokens - lent)

    def take_over(self, team: str, tokens: int) -> None:
        """Add tokens handed over by a peer."""
        self._account(team).credit(tokens)

    async def serve_draw(self, draw: DrawRequest) -> DrawResult:
        """Grant tokens to a peer that uses this daemon as the allocator."""
        team = draw.team
        if self._prepaid(team) is None:
            return DrawResult(0, reached_store=True)
        account = self._account(team)
        account.add_unreported(draw.spent)
        await self._collect(team, draw.need)
        granted = 0
        if account.free >= draw.need:
            others_need = self._allocator.waiting(team)
            spare = max(0, account.free - draw.need - others_need)
            ahead = min(draw.ahead, int(spare * AHEAD_SHARE))
            granted = account.take_free(draw.need + ahead)
        self._allocator.note_demand(team, granted)
        if granted < draw.need:
            log.info('draw not met', given=granted, **self._state(team))
        return DrawResult(
            granted,
            reached_store=not self._allocator.is_store_unavailable,
            unspent=self._allocator.unspent(team),
            opens_in_s=self._opens_in_s(team, draw.need - granted),
        )

    def remember_ledger(self, copy: LedgerCopy) -> None:
        """Remember a ledger that a peer has written."""
        self._allocator.remember(copy)

    async def renew(self, renewal: Renewal) -> Renewed | None:
        """Renew the reserve of a peer; return None unless it is confirmed."""
        return await self._allocator.renew(renewal)

    async def run(self) -> None:
        """Keep the accounts near their targets until cancelled."""
        await self._peers.wait_for_members()
        while True:
            await asyncio.sleep(ADJUST_PERIOD_S)
            for team in list(self._accounts):
                self._adjust(team)
            if self._leads():
                self._tasks.spawn(self._allocator.refill())
            else:
                self._tasks.spawn(self._allocator.write_remembered())

    async def run_reserve(self) -> None:
        """Keep the reserve of this host renewed until cancelled."""
        await self._peers.wait_for_members()
        while True:
            began_at = self._clock()
            if self._is_renewal_due():
                await self._renew_reserve()
            # A fixed period keeps renewals that were written together in step.
            passed_s = self._clock() - began_at
            await asyncio.sleep(max(MIN_PAUSE_S, WRITE_PERIOD_S - passed_s))

    def store_regained(self) -> None:
        """Refill accounts at once after an outage of the store."""
        self._allocator.end_pause()
        for team in list(self._accounts):
            self._adjust(team)

    def _leads(self) -> bool:
        """State whether this daemon draws ahead of demand for the fleet.

        A daemon that reaches no other leads too, but for itself alone.
        """
        return self._peers.allocator() is None and not self._peers.is_cut_off()

    async def close(self) -> None:
        """Return all unspent tokens; call `reserve` no more afterwards."""
        await asyncio.gather(
            self._release_reserve(),
            *(self._hand_over_account(team) for team in self._accounts),
        )
        await self._allocator.return_all(self._accounts)

    async def _release_reserve(self) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            self._reserve.release()
            if self._reserve.is_empty:
                return
            await self._renew_reserve()

    async def _hand_over_account(self, team: str) -> None:
        allocator = self._peers.allocator()
        if allocator:
            await self._hand_over(
                allocator, team, lambda: self._account(team).free
            )

    async def _hand_over(
        self, peer: str, team: str, tokens: Callable[[], int]
    ) -> None:
        """Transfer free tokens to a peer that has just answered.

        Tokens sent to a peer that has died are lost: without an answer, it may
        have received and spent them.
        """
        if not await self._peers.is_answering(peer, team):
            return
        account = self._account(team)
        taken = account.take_free(tokens())
        if not await self._peers.hand_over(peer, team, taken):
            account.credit(taken)

    def _opens_in_s(self, team: str, tokens: int) -> float | None:
        """Return the seconds until reserves may be opened in an outage.

        Return None if the reserves of all hosts don't hold the tokens, so that
        nobody waits for them in vain.
        """
        if not self._allocator.is_store_unavailable:
            return None
        if self._allocator.reserved(team) < tokens:
            return None
        return self._reserve.opens_in_s(self._host_clocks.now().boot_s)

    def _is_renewal_due(self) -> bool:
        """State whether to renew the reserve, or to report the start.

        Hosts that are cut off each lead alone, so they begin no reserve.
        """
        if not self._reserve.is_empty:
            return True
        if self._peers.is_cut_off():
            return False
        return self._peers.holds_reserve() or not self._reserve.is_start_known

    async def _renew_reserve(self) -> None:
        now = self._host_clocks.now()
        if self._peers.holds_reserve() or not self._reserve.is_empty:
            renewal = self._reserve.renewal(now)
        else:
            renewal = self._reserve.start_report(now)
        allocator = self._peers.allocator()
        if allocator is None:
            renewed = await self._allocator.renew(renewal)
        else:
            renewed = await self._peers.renew(allocator, renewal)
        if renewed:
            if renewed.written:
                self._allocator.remember(renewed.written)
            targets = renewed.targets if self._peers.holds_reserve() else {}
            self._reserve.confirm(renewed.number, renewed.held, targets)

    async def _acquire(self, team: str, tokens: int) -> bool:
        """Take tokens from the account or other sources; return success.

        Tokens acquired so far leave the account at once, so concurrent requests
        can't count on them too.
        """
        account = self._account(team)
        acquired = account.take_free(tokens)
        try:
            for source in (self._draw_tokens, self._open_and_borrow):
                if acquired == tokens:
                    break
                await self._peers.wait_for_members()
                await source(team, tokens - acquired)
                acquired += account.take_free(tokens - acquired)
        finally:
            if acquired < tokens:
                account.credit(acquired)
        return acquired == tokens

    async def _collect(self, team: str, need: int) -> None:
        """Have the account hold `need`; move no tokens if that is impossible.

        Draw from the pool, then use what it has together with loans.
        """
        account = self._account(team)
        if account.free < need:
            await self._allocator.draw(team, need)
        if account.free >= need:
            return
        pool = self._allocator.pool(team)
        lacking = need - account.free - pool
        if lacking <= 0:
            # The store did not answer in time, and hardly would a second time.
            return
        more = int(account.rate(self._clock()) * OUTAGE_AHEAD_S)
        await self._open_and_borrow(team, lacking, more)
        if pool and account.free + pool >= need:
            await self._allocator.draw(team, need)

    def _adjust(self, team: str) -> None:
        prepaid = self._prepaid(team)
        allocator = self._peers.allocator()
        if prepaid is None or allocator is None:
            return
        account = self._account(team)
        target = self._target(team)
        if self._surplus(team):
            self._tasks.spawn(self._return_surplus(allocator, team))
        elif account.free < target * REFILL_BELOW_RATIO:
            self._tasks.spawn(self._draw_tokens(team, 0))

    def _surplus(self, team: str) -> int:
        """Return the free tokens that this daemon should return."""
        most = int(self._target(team) * RETURN_ABOVE_RATIO)
        surplus = self._account(team).free - most
        least = (self._prepaid(team) or 0) * MIN_RETURN_SHARE
        return surplus if surplus > least else 0

    async def _return_surplus(self, allocator: str, team: str) -> None:
        now = self._clock()
        last = self._returned_at.get(team, -math.inf)
        if now - last < RETURN_INTERVAL_S:
            return
        self._returned_at[team] = now
        await self._hand_over(allocator, team, lambda: self._surplus(team))

    async def _open_and_borrow(
        self, team: str, missing: int, more: int = 0
    ) -> None:
        """Open the own reserve and borrow from peers, and `more` if they can.

        Move nothing unless all of the missing tokens can be had.
        """
        now_s = self._host_clocks.now().boot_s
        own = self._reserve.openable(team, now_s)
        offers: Mapping[str, int] = {}
        if own < missing:
            offers = await self._offers(team, missing - own)
            if own + sum(offers.values()) < missing:
                return
        opened = self._open(team, missing + more)
        self._account(team).credit(opened)
        await self._take_loans(team, missing + more - opened, offers)

    async def _offers(self, team: str, enough: int) -> Mapping[str, int]:
        """Return what peers can lend, as soon as that is enough."""
        asked = {
            self._tasks.spawn(self._peers.lendable(peer, team)): peer
            for peer in self._peers.lenders()
        }
        offers: dict[str, int] = {}
        until = self._clock() + LOAN_WAIT_S
        waiting = set(asked)
        while waiting and sum(offers.values()) < enough:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=max(0, until - self._clock()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            for answer in done:
                offer = answer.result()
                # A daemon of an older version does not tell what it can lend.
                offers[asked[answer]] = enough if offer is None else offer
        return offers

    async def _take_loans(
        self, team: str, missing: int, offers: Mapping[str, int]
    ) -> None:
        loans = []
        for peer in sorted(offers, key=offers.__getitem__, reverse=True):
            tokens = min(missing, offers[peer])
            if tokens <= 0:
                break
            missing -= tokens
            loans.append(self._tasks.spawn(self._borrow(peer, team, tokens)))
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

    async def _draw_tokens(self, team: str, need: int) -> None:
        """Draw the need, and tokens up to the target if enough are left.

        Try the allocator, then its fallbacks, and last a write of this daemon.
        """
        account = self._account(team)
        ahead = max(0, self._target(team) - account.free - need)
        began_at = self._clock()
        until = began_at + ALL_DRAWS_WAIT_S
        allocator = self._peers.allocator()
        if allocator is None:
            await self._collect(team, account.free + need)
            missing = need if self._allocator.is_store_unavailable else 0
        else:
            missing = await self._draw_from(allocator, team, need, ahead)
        for peer in self._peers.fallback_allocators():
            wait_s = until - self._clock()
            if not missing or wait_s <= 0:
                break
            missing = await self._draw_from(peer, team, missing, 0, wait_s)
        if not missing or allocator is None:
            return
        # Peers that did not answer at all say nothing about the store.
        is_store_lost = self._outage.is_store_lost_since(began_at)
        if self._clock() < until or not is_store_lost:
            await self._allocator.draw(team, account.free + missing)

    async def _draw_from(
        self,
        peer: str,
        team: str,
        need: int,
        ahead: int,
        wait_s: float = DRAW_WAIT_S,
    ) -> int:
        """Draw from a peer; return the need that other peers may cover.

        The reply is credited even if it comes after the timeout or after its
        request was cancelled: its tokens belong to this daemon.
        """
        account = self._account(team)
        draw = DrawRequest(
            team=team, need=need, ahead=ahead, spent=account.take_unreported()
        )
        answer = self._tasks.spawn(self._draw(peer, draw))
        wait_s = min(wait_s, DRAW_WAIT_S)
        done, _ = await asyncio.wait({answer}, timeout=wait_s)
        if not done:
            if wait_s == DRAW_WAIT_S:
                self._peers.note_unresponsive(peer)
            return need
        result = answer.result()
        if result is None:
            return need
        return 0 if result.reached_store else max(0, need - result.tokens)

    async def _draw(self, peer: str, draw: DrawRequest) -> DrawResult | None:
        account = self._account(draw.team)
        result = await self._peers.draw(peer, draw)
        if result is None:
            account.add_unreported(draw.spent)
            return None
        account.credit(result.tokens)
        if not result.reached_store:
            self._outage.note_store_lost(self._clock())
        if result.unspent is not None:
            self._unspent[draw.team] = result.unspent
        if result.opens_in_s is not None:
            self._outage.note_opening(
                draw.team, self._clock() + result.opens_in_s
            )
        return result

    def _target(self, team: str) -> int:
        """Return the free tokens that this daemon should hold.

        They are lost if it dies, as those of the allocator.
        """
        now = self._clock()
        account = self._account(team)
        expected = account.expected_requests(now, DAEMON_AHEAD_S)
        if expected < MIN_EXPECTED_REQUESTS:
            return 0
        most = (self._prepaid(team) or 0) * LOST_SHARE
        return int(min(account.rate(now) * DAEMON_AHEAD_S, most))

    def _refusal(
        self, team: str, tokens: int, prepaid: int
    ) -> PrepaidExhaustedError | GrantUnavailableError:
        state = self._state(team)
        log.info('grant refused', tokens=tokens, **state)
        unspent = state['unspent']
        is_spent = unspent is not None and (
            unspent < tokens + prepaid * EXHAUSTED_BELOW_SHARE
        )
        if is_spent:
            return PrepaidExhaustedError(
                f'{unspent} of {prepaid} prepaid tokens are unspent'
            )
        return GrantUnavailableError(
            f'{tokens} tokens can not be granted at the moment',
            retry_after_s=self._outage.retry_after_s(
                team, self._clock(), reaches_store=self._reaches_store()
            ),
        )

    def _state(self, team: str) -> Mapping[str, Any]:
        """Return the figures behind a refusal, as log fields."""
        prepaid = self._prepaid(team) or 0
        allocator = self._peers.allocator()
        is_own = allocator is None
        unspent = self._reported_unspent(team)
        return {
            'team': team,
            'prepaid': prepaid,
            'unspent': unspent,
            'pool': self._allocator.ledger.free(team, prepaid)
            if is_own
            else None,
            'held': self._account(team).free,
            'in_reserve': self._reserve.held(team),
            'allocator': allocator,
            'version': self._allocator.version,
            'store_lost': self._allocator.is_store_unavailable,
        }

    def _reported_unspent(self, team: str) -> int | None:
        """Return the tokens not reported as spent; None if not known."""
        is_own = self._peers.allocator() is None
        unspent = self._allocator.unspent(team) if is_own else None
        return self._unspent.get(team) if unspent is None else unspent

    def _known_unspent(self, team: str, prepaid: int) -> int:
        """Return the most tokens that a request of the team can get."""
        unspent = self._reported_unspent(team)
        return prepaid if unspent is None else unspent

    def _account(self, team: str) -> TeamAccount:
        found = self._accounts.get(team)
        if found is None:
            found = self._accounts[team] = TeamAccount(self._clock())
        return found
