"""Updates of the configuration in force, from the store or from peers.

One elected daemon of each zone watches the store, and the others fetch changes
from peers. If the elected one crashes or can't reach the store, another one
starts to watch.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from oriolegauge.config.configpeers import ConfigPeers, PeerConfig
from oriolegauge.config.configreceiver import ConfigReceiver
from oriolegauge.config.configtree import ConfigTree
from oriolegauge.config.daemonsettings import DaemonSettings
from oriolegauge.config.followerstate import FollowerState
from oriolegauge.config.peerfetch import PeerFetch
from oriolegauge.config.storewatch import StoreWatch, WatchTiming
from oriolegauge.core import first, rank
from oriolegauge.objectstore import ObjectStore, StoreError

MAX_RETRY_FACTOR = 16
# An incomplete or malformed answer counts as a failure of the store.
STORE_FAILURES = (StoreError, TimeoutError, ValueError, KeyError)
# Daemons of a zone start a fallback watch one after another, so that most of
# them receive a heartbeat of the first one that watches and need not start.
FALLBACK_STAGGER_S = 0.1
FALLBACK_STAGGER_PLACES = 10

log = structlog.get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowerTiming:
    """Set the periods of a follower, in seconds.

    A peer counts as reachable for `heartbeat_timeout_s` after a heartbeat. One
    watcher probes the store at a store age of `probe_after_s`, the others at
    `other_probe_after_s`, unless its heartbeat has lowered the age by then.

    `fallback_after_s` leaves time for a probe, a heartbeat and a fetch, so that
    it passes only if the elected watchers fail. With a list call and a
    heartbeat after it, a change is in force within 5 s of being accepted.

    `heartbeat_delay_s` is added to a peer's age for the time that its heartbeat
    may have taken. Without it, daemons that cannot reach the store would lower
    each other's age by that time with each heartbeat.
    """

    heartbeat_timeout_s: float = 1.5
    probe_after_s: float = 1.0
    other_probe_after_s: float = 2.1
    fallback_after_s: float = 3.0
    heartbeat_delay_s: float = 0.25
    current_max_age_s: float = 10.0
    start_grace_s: float = 2.0
    check_interval_s: float = 0.25
    retry_s: float = 0.5
    fetch_timeout_s: float = 1.0
    watch: WatchTiming = field(default_factory=WatchTiming)


class ConfigFollower:
    """Watch the store for this zone, or fetch changes from peers."""

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        tree: ConfigTree,
        store: ObjectStore,
        peers: ConfigPeers,
        clock: Callable[[], float],
        rng: random.Random,
        on_applied: Callable[[str], None] | None = None,
        timing: FollowerTiming | None = None,
    ) -> None:
        """Update `tree` and call `on_applied` with each changed key."""
        self._name = settings.name
        self._zone = settings.zone
        self._tree = tree
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._timing = timing or FollowerTiming()
        self._woken = asyncio.Event()
        self._ready = asyncio.Event()
        self._started_at = clock()
        self._contact_at: float | None = None
        self._store_failures = 0
        self._store_failing = False
        self._receiver = ConfigReceiver(tree, on_applied)
        self._fetch = PeerFetch(
            name=self._name,
            zone=self._zone,
            receiver=self._receiver,
            peers=peers,
            clock=clock,
            timeout_s=self._timing.fetch_timeout_s,
        )
        self._watch = StoreWatch(
            store=store,
            receiver=self._receiver,
            clock=clock,
            timing=self._timing.watch,
            wake=self.request_check,
        )

    @property
    def ready(self) -> bool:
        """Tell whether the configuration is complete enough to serve."""
        return self._ready.is_set()

    @property
    def watching(self) -> bool:
        """Tell whether this daemon watches the store now."""
        return self._watch.watching

    def current(self, now: float) -> bool:
        """Tell whether the configuration in force is at most 10 s old."""
        age_s = self.store_age_s(now)
        return age_s is not None and age_s <= self._timing.current_max_age_s

    def store_age_s(self, now: float) -> float | None:
        """Return the maximum age of the configuration in force, or None.

        Heartbeats carry the age to other daemons, and it only grows on the
        way. So two daemons that cannot reach the store don't stay current
        through each other.
        """
        at = self._contact_at
        return None if at is None else max(0, now - at)

    def state(self) -> FollowerState:
        """Return the state for the admin port and metrics."""
        now = self._clock()
        return FollowerState(
            ready=self.ready,
            config_current=self.current(now),
            watching=self.watching,
            store_age_s=self.store_age_s(now),
            versions=self._tree.versions,
            store_behind=self._store_behind(),
            rejected=dict(self._receiver.rejected),
            refused_lower=self._receiver.refused_lower,
            refused_invalid=self._receiver.refused_invalid,
            fetched=self._fetch.fetched,
            store_failures=self._store_failures,
        )

    def request_check(self) -> None:
        """Request a comparison with the versions of peers without delay."""
        self._woken.set()

    async def wait_ready(self) -> None:
        """Wait until this daemon may start to serve."""
        await self._ready.wait()

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_peers())
            group.create_task(self._follow_store())

    async def _follow_peers(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._timing.check_interval_s):
                    await self._woken.wait()
            except TimeoutError:
                # Check also without a new heartbeat: that of a peer may have
                # timed out.
                self._woken.clear()
            self._woken.clear()
            await self._fetch.fetch_missing(
                self._reachable_peers(self._clock())
            )
            self._refresh(self._clock())

    async def _follow_store(self) -> None:
        while True:
            if self._reads_store(self._clock()):
                await self._read_store()
            # The random delay keeps daemons from calling a store all at once
            # when it is available again.
            await asyncio.sleep(self._retry_s() * self._rng.uniform(0.5, 1))

    async def _read_store(self) -> None:
        try:
            if self._watches(self._clock()):
                await self._watch.follow(self._watches, self._probe_due)
            else:
                await self._watch.read_all()
        except STORE_FAILURES as error:
            self._store_failures += 1
            if not self._store_failing:
                log.warning(
                    'configuration store unavailable', error=repr(error)
                )
            self._store_failing = True
        else:
            self._store_failing = False

    def _retry_s(self) -> float:
        """Return a time that doubles with each place in the election order."""
        place = self._election_place(self._reachable_peers(self._clock()))
        return self._timing.retry_s * min(2**place, MAX_RETRY_FACTOR)

    def _store_behind(self) -> dict[str, int]:
        # Without a watch nothing clears the entries of an outdated list, so
        # they would be reported for ever.
        return dict(self._receiver.store_behind) if self.watching else {}

    def _probe_due(self, now: float) -> bool:
        watchers = [
            peer.name for peer in self._reachable_peers(now) if peer.watching
        ]
        leads = first('config', [*watchers, self._name]) == self._name
        limit_s = (
            self._timing.probe_after_s
            if leads
            else self._timing.other_probe_after_s
        )
        age_s = self.store_age_s(now)
        return age_s is None or age_s >= limit_s

    def _reads_store(self, now: float) -> bool:
        return not self.ready or self._watches(now)

    def _watches(self, now: float) -> bool:
        """Tell whether this daemon has to watch the store.

        The elected daemon of the zone does. Any other one starts if the store
        age exceeds the fallback time, and stops when a heartbeat shows that a
        preferred daemon watches.
        """
        reachable_peers = self._reachable_peers(now)
        if self._is_elected(self._name, self._zone, reachable_peers):
            return True
        if self.watching:
            return not any(
                self._yields_to(peer, reachable_peers)
                for peer in reachable_peers
            )
        age_s = self.store_age_s(now)
        spread_s = FALLBACK_STAGGER_S * min(
            self._election_place(reachable_peers), FALLBACK_STAGGER_PLACES
        )
        return age_s is None or age_s > self._timing.fallback_after_s + spread_s

    def _election_place(self, reachable_peers: list[PeerConfig]) -> int:
        """Return the place in the election order of the zone, 0 if elected."""
        names = [
            peer.name for peer in reachable_peers if peer.zone == self._zone
        ]
        order = rank(f'config/{self._zone}', [*names, self._name])
        return order.index(self._name)

    def _is_elected(
        self, name: str, zone: str, reachable_peers: list[PeerConfig]
    ) -> bool:
        names = [peer.name for peer in reachable_peers if peer.zone == zone]
        if zone == self._zone:
            names.append(self._name)
        return first(f'config/{zone}', names) == name

    def _yields_to(
        self, peer: PeerConfig, reachable_peers: list[PeerConfig]
    ) -> bool:
        if not peer.watching or peer.store_age_s is None:
            return False
        if peer.store_age_s > self._timing.fallback_after_s:
            return False
        if self._is_elected(peer.name, peer.zone, reachable_peers):
            return True
        return rank('config', [self._name, peer.name])[0] == peer.name

    def _reachable_peers(self, now: float) -> list[PeerConfig]:
        oldest = now - self._timing.heartbeat_timeout_s
        return [
            peer
            for peer in self._peers.last_heartbeats()
            if peer.received_at >= oldest
        ]

    def _refresh(self, now: float) -> None:
        reachable_peers = self._reachable_peers(now)
        covered = [
            peer
            for peer in reachable_peers
            if self._receiver.covers(peer.versions)
        ]
        known = [
            peer.received_at - peer.store_age_s - self._timing.heartbeat_delay_s
            for peer in covered
            if peer.store_age_s is not None
        ]
        known.extend(
            at
            for at in (self._watch.contact_at, self._contact_at)
            if at is not None
        )
        self._contact_at = max(known, default=None)
        if self._is_complete_enough(now, reachable_peers, covered):
            self._ready.set()

    def _is_complete_enough(
        self,
        now: float,
        reachable_peers: list[PeerConfig],
        covered: list[PeerConfig],
    ) -> bool:
        """Tell whether the store or all reachable peers were read.

        Peers that are starting too have no configuration and are not enough.
        `start_grace_s` gives each reachable peer time to send a heartbeat.
        """
        if self._watch.contact_at is not None:
            return True
        if now - self._started_at < self._timing.start_grace_s:
            return False
        return len(covered) == len(reachable_peers) and any(
            peer.store_age_s is not None for peer in reachable_peers
        )
