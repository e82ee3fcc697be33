"""Keep the configuration in force up to date, from the store or peers."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from oriolegauge.config.configinbox import ConfigInbox
from oriolegauge.config.configpeers import ConfigPeers, PeerConfig
from oriolegauge.config.configtree import ConfigTree
from oriolegauge.config.daemonsettings import DaemonSettings
from oriolegauge.config.followerstate import FollowerState
from oriolegauge.config.peerfetch import PeerFetch
from oriolegauge.config.storewatch import StoreWatch, WatchTiming
from oriolegauge.core import first, rank
from oriolegauge.objectstore import ObjectStore, StoreError

MAX_RETRY_FACTOR = 16
# An answer that is cut short or malformed counts as a failure of the store.
STORE_FAILURES = (StoreError, TimeoutError, ValueError, KeyError)
# Daemons of a zone fall back one after another, so that the first one is heard
# watching by most of the others before their turn comes.
SPREAD_S = 0.1
MAX_SPREAD = 10

log = structlog.get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowerTiming:
    """Set the periods of a follower, in seconds.

    A peer is live for `live_s` after a heartbeat. One watcher probes the store
    when nothing was heard for `probe_s`, the others after `probe_late_s`, by
    when its heartbeat has told them. `fallback_s` leaves time for
    a probe, a heartbeat and a fetch, so that it passes only when the elected
    watchers fail; with a list call and a heartbeat after it, a change is in
    force within 5 s of being accepted. `hop_s` is added to a peer's age for the
    time that its heartbeat may have been under way; without it, daemons that
    are cut off would keep each other young by that time in each heartbeat.
    """

    live_s: float = 1.5
    probe_s: float = 1.0
    probe_late_s: float = 2.1
    fallback_s: float = 3.0
    hop_s: float = 0.25
    current_s: float = 10.0
    start_grace_s: float = 2.0
    step_s: float = 0.25
    retry_s: float = 0.5
    fetch_timeout_s: float = 1.0
    watch: WatchTiming = field(default_factory=WatchTiming)


class ConfigFollower:
    """Watch the store for this zone, or fetch from the peers that do."""

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
        """Keep `tree` up to date; call `applied` with each changed key."""
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
        self._inbox = ConfigInbox(tree, on_applied)
        self._fetch = PeerFetch(
            name=self._name,
            zone=self._zone,
            inbox=self._inbox,
            peers=peers,
            clock=clock,
            timeout_s=self._timing.fetch_timeout_s,
        )
        self._watch = StoreWatch(
            store=store,
            inbox=self._inbox,
            clock=clock,
            timing=self._timing.watch,
            wake=self.request_check,
        )

    @property
    def ready(self) -> bool:
        """Tell whether enough of the configuration is held to serve."""
        return self._ready.is_set()

    @property
    def watching(self) -> bool:
        """Tell whether this daemon watches the store now, for heartbeats."""
        return self._watch.watching

    def current(self, now: float) -> bool:
        """Tell whether the store was heard, also through peers, in 10 s."""
        age_s = self.store_age_s(now)
        return age_s is not None and age_s <= self._timing.current_s

    def store_age_s(self, now: float) -> float | None:
        """Return how old the configuration in force can be, for heartbeats.

        Ages pass from daemon to daemon and only grow on the way, so two
        daemons that are cut off cannot keep each other current.
        """
        at = self._contact_at
        return None if at is None else max(0, now - at)

    def state(self) -> FollowerState:
        """Return the state dump."""
        now = self._clock()
        return FollowerState(
            ready=self.ready,
            config_current=self.current(now),
            watching=self.watching,
            store_age_s=self.store_age_s(now),
            versions=self._tree.versions,
            store_behind=self._store_behind(),
            rejected=dict(self._inbox.rejected),
            refused_lower=self._inbox.refused_lower,
            refused_invalid=self._inbox.refused_invalid,
            fetched=self._fetch.fetched,
            store_failures=self._store_failures,
        )

    def request_check(self) -> None:
        """Compare versions at once, after a heartbeat or a store answer."""
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
                async with asyncio.timeout(self._timing.step_s):
                    await self._woken.wait()
            except TimeoutError:
                # Silence is also news: a peer may have stopped to be live.
                self._woken.clear()
            self._woken.clear()
            await self._fetch.fetch_missing(self._live(self._clock()))
            self._refresh(self._clock())

    async def _follow_store(self) -> None:
        while True:
            if self._reads_store(self._clock()):
                await self._read_store()
            # The spread keeps daemons from calling a returning store together.
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
                log.warning('configuration store lost', error=repr(error))
            self._store_failing = True
        else:
            self._store_failing = False

    def _retry_s(self) -> float:
        """Return a longer time the less this daemon is needed as a watcher."""
        place = self._place(self._live(self._clock()))
        return self._timing.retry_s * min(2**place, MAX_RETRY_FACTOR)

    def _store_behind(self) -> dict[str, int]:
        # Without a watch, a list that was late would be reported for good.
        return dict(self._inbox.store_behind) if self.watching else {}

    def _probe_due(self, now: float) -> bool:
        watchers = [peer.name for peer in self._live(now) if peer.watching]
        leads = first('config', [*watchers, self._name]) == self._name
        limit_s = self._timing.probe_s if leads else self._timing.probe_late_s
        age_s = self.store_age_s(now)
        return age_s is None or age_s >= limit_s

    def _reads_store(self, now: float) -> bool:
        return not self.ready or self._watches(now)

    def _watches(self, now: float) -> bool:
        """Tell whether this daemon has to watch the store.

        The elected daemon of the zone does. Any other one starts when nothing
        was heard of the store, and stops when a better one is heard watching.
        """
        live = self._live(now)
        if self._is_elected(self._name, self._zone, live):
            return True
        if self.watching:
            return not any(self._yields_to(peer, live) for peer in live)
        age_s = self.store_age_s(now)
        spread_s = SPREAD_S * min(self._place(live), MAX_SPREAD)
        return age_s is None or age_s > self._timing.fallback_s + spread_s

    def _place(self, live: list[PeerConfig]) -> int:
        """Return the place in the order of the zone, 0 for the elected one."""
        names = [peer.name for peer in live if peer.zone == self._zone]
        order = rank(f'config/{self._zone}', [*names, self._name])
        return order.index(self._name)

    def _is_elected(self, name: str, zone: str, live: list[PeerConfig]) -> bool:
        names = [peer.name for peer in live if peer.zone == zone]
        if zone == self._zone:
            names.append(self._name)
        return first(f'config/{zone}', names) == name

    def _yields_to(self, peer: PeerConfig, live: list[PeerConfig]) -> bool:
        if not peer.watching or peer.store_age_s is None:
            return False
        if peer.store_age_s > self._timing.fallback_s:
            return False
        if self._is_elected(peer.name, peer.zone, live):
            return True
        return rank('config', [self._name, peer.name])[0] == peer.name

    def _live(self, now: float) -> list[PeerConfig]:
        oldest = now - self._timing.live_s
        return [
            peer
            for peer in self._peers.last_heartbeats()
            if peer.received_at >= oldest
        ]

    def _refresh(self, now: float) -> None:
        live = self._live(now)
        covered = [peer for peer in live if self._inbox.covers(peer.versions)]
        known = [
            peer.received_at - peer.store_age_s - self._timing.hop_s
            for peer in covered
            if peer.store_age_s is not None
        ]
        known.extend(
            at
            for at in (self._watch.contact_at, self._contact_at)
            if at is not None
        )
        self._contact_at = max(known, default=None)
        if self._holds_enough(now, live, covered):
            self._ready.set()

    def _holds_enough(
        self, now: float, live: list[PeerConfig], covered: list[PeerConfig]
    ) -> bool:
        """Tell whether the store or all reachable peers have been read.

        Peers that only start as well hold nothing and do not count. The grace
        gives each reachable peer the time to send a heartbeat.
        """
        if self._watch.contact_at is not None:
            return True
        if now - self._started_at < self._timing.start_grace_s:
            return False
        return len(covered) == len(live) and any(
            peer.store_age_s is not None for peer in live
        )
