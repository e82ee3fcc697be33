"""Permits of the whole fleet for servers that take a limited rate.

The first leader hands out the permits. Matters when daemons start, stop, freeze
or lose each other: a daemon hands out the part of a limit for which others have
lent it their shares.
"""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import repeat
from typing import Protocol

import structlog

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.serverlimits import ServerLimits
from oriolegauge.gateway.fleetlayout import RING_LEASE_S, lease_s
from oriolegauge.routing.limitshares import LimitShares
from oriolegauge.routing.ratepermits import (
    MAX_WAIT_S,
    TRIAL_PER_S,
    Permits,
    RatePermits,
)
from oriolegauge.wire.messages import (
    NO_STAMP_S,
    Message,
    PermitRequest,
    PermitsGiven,
)

# Part of a lease after which it is renewed.
RENEWAL_SHARE = 1 / 3
# A request waits at most this long for a permit of another daemon.
PERMIT_TIMEOUT_S = 0.05
# No longer than it takes to find that a peer is frozen.
RENEWAL_TIMEOUT_S = 0.3
# No permits are asked for in this time after a call that failed.
FAILED_CALL_PAUSE_S = 0.2
# An unused permit expires after this time.
SPARE_PERMIT_S = 0.5
# Time over which the demand for permits is averaged, and the permits asked for
# ahead as a share of it.
DEMAND_S = 1.0
AHEAD_SHARE = 0.125
# The bound of a cold server holds in each second, so that permits for it are
# neither asked for ahead nor kept, and few are saved up.
COLD_BURST_S = 0.1
# With a smaller part of the shares, more than four daemons may hand out permits
# at their own pace. Each then drops a permit that it did not use at once, and
# uses only some of its rate. In a model of 68 daemons without links and a
# server that takes 11 requests a second, it got 68 in one second without both
# measures, 24 with the first, 16 with both; 21 are allowed.
SMALL_PART = 0.25
SMALL_PART_SAVED_S = 0.1
SMALL_PART_USE = 0.6

log = structlog.get_logger()


class LimitLinks(Protocol):
    """Calls to the daemon that hands out permits."""

    @property
    def share_holders(self) -> int:
        """Return the number of daemons that own a share of each limit."""

    @property
    def is_listed(self) -> bool:
        """State whether the daemons of the fleet have been listed."""

    @property
    def is_serving(self) -> bool:
        """State whether this daemon has not announced its shutdown."""

    def limiter(self) -> str | None:
        """Return the peer that hands out permits, None if it is this one."""

    def note_limiter_failed(self, peer: str) -> None:
        """Note that the peer did not answer, so that the next one is asked."""

    def has_announced_shutdown(self, peer: str) -> bool:
        """State whether the peer has said that it stops."""

    async def call(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; raise an OriolegaugeError."""


@dataclass(slots=True)
class _ServerState:
    """Hold the permits and the demand of this daemon for one server.

    `spares` are the expiry times of permits; times are of the boot clock.
    """

    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    spares: list[float] = field(default_factory=list)
    refused_until: float = -math.inf
    demand: float = 0
    demand_at: float = 0

    def take_spare(self, now: float) -> bool:
        """Take a permit that has not expired, if there is one."""
        while self.spares:
            if self.spares.pop() > now:
                return True
        return False

    def add_spares(self, count: int, now: float) -> None:
        """Keep permits for the next requests."""
        self.spares.extend(repeat(now + SPARE_PERMIT_S, count))

    def note(self, permits: Permits, now: float) -> None:
        """Record the permits for this request and the next ones."""
        if permits.count:
            self.add_spares(permits.count - 1, now)
        else:
            self.refused_until = now + permits.wait_s

    def wanted(self, now: float) -> int:
        """Return the permits to ask for, more than one at a high demand."""
        self.demand *= math.exp((self.demand_at - now) / DEMAND_S)
        self.demand += 1
        self.demand_at = now
        return 1 + int(self.demand * AHEAD_SHARE)


class LimitExchange:
    """Get permits for this daemon, and hand them out to the others."""

    def __init__(
        self,
        *,
        links: LimitLinks,
        limits: ServerLimits,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Keep to `limits`.

        `clock` must also count the time in which the process is suspended.
        """
        self._links = links
        self._limits = limits
        self._clock = clock
        self._permits = RatePermits(rng)
        self._shares = LimitShares(clock())
        self._states: dict[ServerInstance, _ServerState] = {}
        # Time of the other daemon's clock in its last answer.
        self._stamps: dict[str, float] = {}
        self._failed_until = -math.inf
        self._changed = asyncio.Event()

    def changed(self) -> None:
        """Lend the share and ask for permits soon: a limit has changed."""
        for state in self._states.values():
            state.refused_until = -math.inf
        self._changed.set()

    async def acquire(self, server_instance: ServerInstance) -> float:
        """Return 0 if a request may be sent, else the seconds to wait."""
        per_s = self._limits.per_s(server_instance)
        if per_s is None:
            return 0
        state = self._states.setdefault(server_instance, _ServerState())
        # The requests of a burst would all be refused, one call each.
        async with state.lock:
            if state.take_spare(self._clock()):
                return 0
            until = max(self._failed_until, state.refused_until)
            wait_s = until - self._clock()
            if wait_s <= 0:
                wait_s = await self._ask(server_instance, state, per_s)
            return wait_s

    async def _ask(
        self, server_instance: ServerInstance, state: _ServerState, per_s: float
    ) -> float:
        """Ask for permits; return 0 if there are some, else the wait (s)."""
        wanted = state.wanted(self._clock())
        if self._limits.is_cold(server_instance):
            wanted = 1
        limiter = self._links.limiter()
        if limiter is None:
            permits = self._hand_out(server_instance, per_s, wanted)
        else:
            request = PermitRequest(
                server=server_instance.instance,
                started_ms=server_instance.started_ms,
                per_s=per_s,
                wanted=wanted,
            )
            permits = await self._call(limiter, request, PERMIT_TIMEOUT_S)
        log.info(
            'permit' if permits.count else 'no permit',
            server=server_instance.instance,
            per_s=per_s,
            limiter=limiter,
            count=permits.count,
            wait_s=round(permits.wait_s, 3),
        )
        state.note(permits, self._clock())
        return 0 if permits.count else permits.wait_s

    def give_back(self, server_instance: ServerInstance) -> None:
        """Keep a permit that was not used for the next request."""
        state = self._states.get(server_instance)
        if state and not self._limits.is_cold(server_instance):
            state.add_spares(1, self._clock())

    def own_per_s(self, server_instance: ServerInstance) -> float:
        """Return this daemon's equal part of the rate of a limited server."""
        per_s = self._limits.per_s(server_instance)
        return (per_s or TRIAL_PER_S) / self._links.share_holders

    def answer(self, daemon: str, request: PermitRequest) -> PermitsGiven:
        """Hold the share that a peer lends, and give it permits."""
        now = self._clock()
        if NO_STAMP_S < request.stamp_s <= now:
            until = request.stamp_s + min(request.lease_s, RING_LEASE_S)
            self._shares.borrow(daemon, until)
        permits = Permits(0)
        if request.wanted > 0 and math.isfinite(request.per_s):
            permits = self._hand_out(
                ServerInstance(request.server, request.started_ms),
                request.per_s,
                request.wanted,
            )
        return PermitsGiven(
            count=permits.count, wait_s=permits.wait_s, stamp_s=now
        )

    async def run(self) -> None:
        """Lend the own share while servers are limited, until cancelled."""
        while True:
            lease = lease_s(self._links.share_holders)
            if self._limits.is_any_limited:
                await self._lend(lease)
            else:
                self._states.clear()
            self._permits.keep_only(self._is_limited)
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(lease * RENEWAL_SHARE):
                    await self._changed.wait()

    async def _lend(self, lease: float) -> None:
        borrower = self._shares.borrower
        if borrower and self._links.has_announced_shutdown(borrower):
            self._shares.take_back(borrower, self._clock())
        limiter = self._links.limiter()
        if limiter is None or not self._links.is_serving:
            return
        if limiter not in self._stamps:
            # The peer's lease starts at the time of its own clock that it told
            # before, so that it never outlasts the one kept here.
            await self._call(limiter, PermitRequest(), RENEWAL_TIMEOUT_S)
        stamp_s = self._stamps.get(limiter)
        if stamp_s is None or not self._shares.lend(
            limiter, lease_s=lease, now=self._clock()
        ):
            return
        await self._call(
            limiter,
            PermitRequest(stamp_s=stamp_s, lease_s=lease),
            RENEWAL_TIMEOUT_S,
        )

    async def _call(
        self, limiter: str, request: PermitRequest, timeout_s: float
    ) -> Permits:
        try:
            answer = await self._links.call(limiter, request, timeout_s)
        except OriolegaugeError as error:
            log.info('limiter not reached', peer=limiter, error=error.message)
            self._failed_until = self._clock() + FAILED_CALL_PAUSE_S
            if timeout_s >= RENEWAL_TIMEOUT_S:
                self._stamps.pop(limiter, None)
                self._links.note_limiter_failed(limiter)
            return Permits(0, FAILED_CALL_PAUSE_S)
        if not isinstance(answer, PermitsGiven):
            return Permits(0, FAILED_CALL_PAUSE_S)
        self._stamps[limiter] = answer.stamp_s
        if answer.count > 0:
            return Permits(min(answer.count, request.wanted))
        if not 0 < answer.wait_s < MAX_WAIT_S:
            return Permits(0, MAX_WAIT_S)
        return Permits(0, answer.wait_s)

    def _hand_out(
        self, server_instance: ServerInstance, per_s: float, wanted: int
    ) -> Permits:
        known_per_s = self._limits.per_s(server_instance)
        if known_per_s is not None:
            per_s = min(per_s, known_per_s)
        now = self._clock()
        members = self._links.share_holders
        part = self._shares.part(
            members=members, lease_s=lease_s(members), now=now
        )
        # Peers use the shares of a daemon that has announced its shutdown.
        part *= self._links.is_serving
        rate = max(per_s, TRIAL_PER_S) * part
        if not self._limits.is_cold(server_instance):
            return self._permits.take(
                server_instance, per_s=rate, wanted=wanted, now=now
            )
        # Before the daemons are listed, the own share seems larger than it is.
        rate *= self._links.is_listed
        is_small = part < SMALL_PART
        return self._permits.take(
            server_instance,
            per_s=rate * (SMALL_PART_USE if is_small else 1),
            wanted=min(wanted, 1),
            now=now,
            burst_s=COLD_BURST_S,
            saved_s=SMALL_PART_SAVED_S if is_small else math.inf,
        )

    def _is_limited(self, server_instance: object) -> bool:
        return (
            isinstance(server_instance, ServerInstance)
            and self._limits.per_s(server_instance) is not None
        )
