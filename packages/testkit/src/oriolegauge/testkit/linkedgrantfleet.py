"""Simulated fleet of grant keepers whose links and leaders each host sees.

A host elects the leaders among the hosts that it reaches, as `FleetLinks` does.
Calls over a cut link get no answer. A host that has just started knows the
others once it has read them from the store.
"""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from itertools import islice

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.grants import (
    DrawRequest,
    DrawResult,
    GrantKeeper,
    GrantLedger,
    GrantProcess,
    Renewal,
    Renewed,
)
from oriolegauge.objectstore import (
    StoreAnswerLostError,
    StoreUnreachableError,
)
from oriolegauge.testkit.grantfleet import (
    KIND,
    MAX_FALLBACK_ALLOCATORS,
    MAX_LEDGER_COPIES,
    MAX_RESERVE_HOSTS,
    Clocks,
    LateStore,
)

# Timeouts of calls to the store and to peers, as those of the gateway.
STORE_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 3.0
HAND_OVER_TIMEOUT_S = 0.5
RENEW_TIMEOUT_S = 1.5
SHARE_TIMEOUT_S = 0.1
LISTING_TIMEOUT_S = 1.0
LISTING_RETRY_S = 0.6
PEER_PAUSE_S = 1.0
# One way over a link, and a call to the store.
LINK_DELAY_S = 0.002
STORE_DELAY_S = 0.02
# Seconds until a cut link is noticed, and until it is open again afterwards.
NOTICE_S = 1.5
RECONNECT_S = 0.4


class SilentStore(LateStore):
    """Answer after a delay; not at all while it is silent.

    A host in `refused` gets no connection.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.is_silent = False
        self.refused: set[str] = set()

    async def call(self) -> None:
        """Wait for an answer; raise StoreAnswerLostError without one."""
        if self.is_silent:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreAnswerLostError('no answer')
        await asyncio.sleep(STORE_DELAY_S)


class HostStore:
    """Reach the store from one process of a host."""

    def __init__(self, fleet: 'LinkedFleet', host: str, holder: str) -> None:
        self._fleet = fleet
        self._host = host
        self._holder = holder

    @property
    def era(self) -> int:
        return self._fleet.store.era

    def _check_reachable(self) -> None:
        is_dead = self._fleet.holders.get(self._host) != self._holder
        if is_dead or self._host in self._fleet.store.refused:
            raise StoreUnreachableError('no connection')

    async def get(self, key):
        self._check_reachable()
        try:
            await self._fleet.store.call()
        except StoreAnswerLostError as error:
            raise StoreUnreachableError('no answer') from error
        self._check_reachable()
        return await self._fleet.store.get(key)

    async def put(self, key, value, expected_version):
        self._check_reachable()
        await self._fleet.store.call()
        self._check_reachable()
        return await self._fleet.store.put(key, value, expected_version)


class LinkedPeers:
    """Links of one process to the processes that it reaches."""

    def __init__(self, fleet: 'LinkedFleet', name: str, holder: str) -> None:
        self._fleet = fleet
        self._name = name
        self._holder = holder
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._unresponsive_at: dict[str, float] = {}
        self._store_lost_at: dict[str, float] = {}

    @property
    def _is_alive(self) -> bool:
        return self._fleet.holders.get(self._name) == self._holder

    async def wait_for_members(self) -> None:
        until = self._started_at + LISTING_TIMEOUT_S
        listed = self._fleet.listed[self._name]
        if not listed.is_set() and self._loop.time() < until:
            try:
                async with asyncio.timeout_at(until):
                    await listed.wait()
            except TimeoutError:
                return

    def reserve_hosts(self) -> Sequence[str]:
        leaders = filter(self._is_serving, self._fleet.known(self._name))
        return list(islice(leaders, MAX_RESERVE_HOSTS))

    def allocator(self) -> str | None:
        leaders = self.reserve_hosts()
        reaching = filter(self._may_reach_store, leaders)
        found = next(reaching, leaders[0] if leaders else self._name)
        return None if found == self._name else found

    def is_cut_off(self) -> bool:
        return not self._fleet.listed[self._name].is_set() or not any(
            map(self._is_open, self._fleet.names)
        )

    def fallback_allocators(self) -> Sequence[str]:
        skipped = {self._name, self.allocator()}
        leaders = self.reserve_hosts()
        return [name for name in leaders if name not in skipped][
            :MAX_FALLBACK_ALLOCATORS
        ]

    def holds_reserve(self) -> bool:
        return self._name in self.reserve_hosts()

    def lenders(self) -> Sequence[str]:
        return [name for name in self.reserve_hosts() if name != self._name]

    def note_unresponsive(self, peer: str) -> None:
        self._unresponsive_at[peer] = self._loop.time()

    async def draw(self, peer: str, draw: DrawRequest) -> DrawResult | None:
        result = await self._call(
            peer, lambda keeper: keeper.serve_draw(draw), ANSWER_TIMEOUT_S
        )
        if result is None:
            self._fleet.failed['draw'] += 1
        elif not result.reached_store:
            self._store_lost_at[peer] = self._loop.time()
        return result

    async def lendable(self, peer: str, team: str) -> int | None:
        async def answer(keeper):
            return keeper.lendable(team)

        result = await self._call(peer, answer, ANSWER_TIMEOUT_S)
        if result is None:
            self._fleet.failed['loan'] += 1
        return result or 0

    async def borrow(self, peer: str, team: str, tokens: int) -> int:
        async def answer(keeper):
            return keeper.lend(team, tokens)

        return await self._call(peer, answer, ANSWER_TIMEOUT_S) or 0

    async def renew(self, peer: str, renewal: Renewal) -> Renewed | None:
        return await self._call(
            peer, lambda keeper: keeper.renew(renewal), RENEW_TIMEOUT_S
        )

    async def is_answering(self, peer: str, team: str) -> bool:
        async def answer(keeper):
            return True

        return bool(await self._call(peer, answer, HAND_OVER_TIMEOUT_S))

    async def hand_over(self, peer: str, team: str, tokens: int) -> bool:
        async def answer(keeper):
            keeper.take_over(team, tokens)
            return True

        await self._call(peer, answer, HAND_OVER_TIMEOUT_S)
        return True

    async def share_ledger(self, copy) -> None:
        async def answer(keeper):
            keeper.remember_ledger(copy)
            return True

        leaders = [name for name in self.lenders() if self._is_open(name)]
        await asyncio.gather(
            *(
                self._call(name, answer, SHARE_TIMEOUT_S)
                for name in leaders[:MAX_LEDGER_COPIES]
            )
        )

    async def remembered_ledgers(self):
        async def answer(keeper):
            return keeper.remembered_ledger

        found = await asyncio.gather(
            *(
                self._call(name, answer, SHARE_TIMEOUT_S)
                for name in self.lenders()
            )
        )
        return [copy for copy in found if copy]

    async def _call(self, peer, answer, timeout_s):
        if not self._is_open(peer):
            return None
        keeper = self._fleet.keepers[peer]
        try:
            async with asyncio.timeout(timeout_s):
                await self._travel(peer)
                result = await answer(keeper)
                await self._travel(peer)
        except TimeoutError:
            self.note_unresponsive(peer)
            return None
        except OriolegaugeError:
            return None
        is_alive = self._fleet.keepers.get(peer) is keeper and self._is_alive
        return result if is_alive else None

    async def _travel(self, peer: str) -> None:
        await asyncio.sleep(LINK_DELAY_S)
        if not self._fleet.is_linked(self._name, peer):
            # Nothing arrives over a cut link: the call ends by its timeout.
            await asyncio.sleep(math.inf)

    def _is_open(self, peer: str) -> bool:
        return self._fleet.is_open(self._name, peer)

    def _is_serving(self, name: str) -> bool:
        if name == self._name:
            return True
        noted_at = self._unresponsive_at.get(name, -math.inf)
        is_paused = self._loop.time() - noted_at < PEER_PAUSE_S
        return self._is_open(name) and not is_paused

    def _may_reach_store(self, name: str) -> bool:
        noted_at = self._store_lost_at.get(name, -math.inf)
        if self._loop.time() - noted_at < PEER_PAUSE_S:
            return False
        keeper = self._fleet.keepers[name]
        return not keeper.is_store_unavailable


class LinkedFleet:
    """Run keepers for several teams and count where their tokens are."""

    def __init__(
        self, *, store: SilentStore, budgets: Mapping[str, int], size: int
    ) -> None:
        """Start `size` hosts; `budgets` are the prepaid tokens of the teams."""
        self.store = store
        self.budgets = budgets
        self.names = [f'h{number}' for number in range(size)]
        self.keepers: dict[str, GrantKeeper] = {}
        self.holders: dict[str, str] = {}
        self.listed: dict[str, asyncio.Event] = {}
        self.clocks = {name: Clocks() for name in self.names}
        self.failed: Counter[str] = Counter()
        # Tokens by team: delivered, and reserved by requests of live processes
        # or of those that have ended.
        self.delivered: Counter[str] = Counter()
        self.running: dict[str, Counter[str]] = {}
        self.died_running: Counter[str] = Counter()
        self.died_held: Counter[str] = Counter()
        self._changed_at: dict[str, float] = {}
        self._is_cut: dict[str, bool] = {}
        self._starts = 0
        self._jobs: dict[str, list[asyncio.Task]] = {}
        self._loop = asyncio.get_running_loop()
        for name in self.names:
            self.start(name)
            self.listed[name].set()

    def cut(self, *names: str) -> None:
        """Cut all links of these hosts."""
        self._change_links(names, is_cut=True)

    def mend(self, *names: str) -> None:
        """Connect the links of these hosts again."""
        self._change_links(names, is_cut=False)

    def _change_links(self, names, *, is_cut):
        for name in names:
            self._is_cut[name] = is_cut
            self._changed_at[name] = self._loop.time()

    def known(self, name: str) -> Sequence[str]:
        """Return the hosts that a host knows, by rank.

        Before it has read the members, it knows only ring neighbours that have,
        from their heartbeats.
        """
        if self.listed[name].is_set():
            return self.names
        position = self.names.index(name)
        neighbours = {
            self.names[(position + step) % len(self.names)]
            for distance in (1, 2, 4, 8, 16, 32)
            for step in (distance, -distance)
        }
        return [
            other
            for other in self.names
            if other == name
            or (other in neighbours and self.listed[other].is_set())
        ]

    def is_linked(self, name: str, peer: str) -> bool:
        """Return whether messages of a host reach the other."""
        is_cut = self._is_cut.get(name) or self._is_cut.get(peer)
        return not is_cut and {name, peer} <= self.holders.keys()

    def is_open(self, name: str, peer: str) -> bool:
        """Return whether the link counts as connected at the host."""
        if name == peer or not {name, peer} <= self.holders.keys():
            return False
        return all(self._seems_linked(host) for host in (name, peer))

    def _seems_linked(self, host: str) -> bool:
        changed_s = self._loop.time() - self._changed_at.get(host, -math.inf)
        if self._is_cut.get(host):
            return changed_s < NOTICE_S
        return changed_s > RECONNECT_S

    def start(self, name: str) -> None:
        """Start a process of the host."""
        self._starts += 1
        holder = f'{name}/{self._starts}'
        clocks = self.clocks[name]
        clocks.started = clocks.now()
        self.holders[name] = holder
        self.listed[name] = asyncio.Event()
        self.running[name] = Counter()
        self.keepers[name] = GrantKeeper(
            store=HostStore(self, name, holder),
            kind=KIND,
            process=GrantProcess(
                host=name,
                holder=holder,
                is_first_start=self._starts <= len(self.names),
            ),
            peers=LinkedPeers(self, name, holder),
            prepaid=self.budgets.get,
            reaches_store=lambda: name not in self.store.refused,
            clock=self._loop.time,
            host_clocks=clocks,
            rng=random.Random(self._starts),
        )

    def run(self, *names: str) -> None:
        """Run the background jobs of these keepers, or of all."""
        for name in names or self.names:
            keeper = self.keepers[name]
            self._jobs[name] = [
                asyncio.create_task(keeper.run()),
                asyncio.create_task(keeper.run_reserve()),
                asyncio.create_task(self._list_members(name)),
            ]

    async def _list_members(self, name: str) -> None:
        store = HostStore(self, name, self.holders[name])
        while not self.listed[name].is_set():
            try:
                await store.get('members')
            except OriolegaugeError:
                await asyncio.sleep(LISTING_RETRY_S)
            else:
                self.listed[name].set()

    def stop(self, *names: str) -> None:
        """Stop the background jobs of these keepers, or of all."""
        for name in names or self.names:
            for job in self._jobs.pop(name, ()):
                job.cancel()

    def kill(self, *names: str) -> None:
        """End the processes of these hosts with all that they hold."""
        self.stop(*names)
        for name in names:
            self.died_running += self.running.pop(name)
            self.died_held += Counter(self.keepers[name].free)
            del self.holders[name]

    async def lose_power(
        self, down_s: float, *, slowest_start_s: float = 0
    ) -> None:
        """End all processes; the hosts boot again after `down_s`.

        Their processes start within `slowest_start_s` afterwards.
        """
        self.kill(*self.names)
        await asyncio.sleep(down_s)
        for name in self.names:
            self.clocks[name].boot_id = f'boot {self._starts}'
            self.clocks[name].boot_began = self._loop.time()
        rng = random.Random(self._starts)
        waits = sorted((rng.uniform(0, slowest_start_s), n) for n in self.names)
        began_at = self._loop.time()
        for wait_s, name in waits:
            await asyncio.sleep(max(0, began_at + wait_s - self._loop.time()))
            self.start(name)
            self.run(name)

    async def request(
        self,
        name: str,
        team: str,
        most: int,
        used: int,
        *,
        seconds: float,
        timeout_s: float,
    ) -> None:
        """Serve a request that uses `used` tokens and takes `seconds`."""
        keeper, holder = self.keepers[name], self.holders[name]
        held = await keeper.reserve(team, most, self._loop.time() + timeout_s)
        if self.holders.get(name) != holder:
            raise OriolegaugeError('the host has lost power')
        running = self.running[name]
        running[team] += most
        self.delivered[team] += used
        await asyncio.sleep(seconds)
        if self.holders.get(name) != holder:
            raise OriolegaugeError('the host has lost power')
        running[team] -= most
        keeper.settle(held, used)

    def whereabouts(self) -> dict[str, Counter[str]]:
        """Return where the tokens of each team are, by the store's ledger."""
        ledger = self.ledger()
        places: dict[str, Counter[str]] = {}
        for team, prepaid in self.budgets.items():
            own = Counter(
                running=sum(run[team] for run in self.running.values()),
                held=sum(
                    self.keepers[name].free.get(team, 0)
                    for name in self.holders
                ),
                pool=ledger.free(team, prepaid),
            )
            for host, row in ledger.reserves.items():
                is_live = self.holders.get(host) == row.holder
                part = row.parts.get(team)
                place = 'reserve' if is_live else 'dead reserve'
                own[place] += part.tokens if part else 0
            own['gone'] = prepaid - own.total()
            own['died running'] = self.died_running[team]
            own['died held'] = self.died_held[team]
            own['delivered'] = self.delivered[team]
            places[team] = own
        return places

    def ledger(self) -> GrantLedger:
        """Return the ledger in the store."""
        found = self.store.objects.get(f'{KIND}/ledger')
        return GrantLedger.from_value(found.value) if found else GrantLedger()
