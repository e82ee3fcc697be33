"""Simulated fleet of grant keepers for one budget.

Answers of its store may be lost, and writes without an answer may be applied
later.
"""

import asyncio
import random

from oriolegauge.grants import (
    DrawRequest,
    DrawResult,
    GrantKeeper,
    GrantProcess,
    HostTimes,
    Renewal,
    Renewed,
)
from oriolegauge.objectstore import StoreAnswerLostError
from oriolegauge.testkit.memoryobjectstore import MemoryObjectStore

KIND = 'grants'
TEAM = 'team'
MAX_RESERVE_HOSTS = 8
MAX_FALLBACK_ALLOCATORS = 2
MAX_LEDGER_COPIES = 2


class LateStore(MemoryObjectStore):
    """Lose answers of writes, which may still be applied at once or later.

    `lost_share` is the share of writes that get no answer. Delayed writes are
    applied by `apply_late`.
    """

    def __init__(self, rng: random.Random, lost_share: float = 0) -> None:
        super().__init__()
        self.lost_share = lost_share
        self.late: list[tuple[str, dict, int]] = []
        self._rng = rng

    async def put(self, key, value, expected_version):
        if self._rng.random() >= self.lost_share:
            return await super().put(key, value, expected_version)
        match self._rng.choice(['before', 'after', 'late']):
            case 'after':
                await super().put(key, value, expected_version)
            case 'late':
                self.late.append((key, value, expected_version))
        raise StoreAnswerLostError('answer lost')

    async def apply_late(self):
        for entry in self.late:
            try:
                await MemoryObjectStore.put(self, *entry)
            except Exception:
                continue
        self.late.clear()


class Clocks:
    """Simulated clocks of a host, which tests set and restart."""

    def __init__(self) -> None:
        self.boot_id = 'boot'
        self.boot_began = 0.0
        self.wall_offset = 0.0
        self.started = self.now()

    def now(self) -> HostTimes:
        passed = asyncio.get_running_loop().time()
        return HostTimes(
            boot_id=self.boot_id,
            boot_s=passed - self.boot_began,
            wall_s=passed + self.wall_offset,
        )


class Peers:
    """Links of a keeper to the running keepers."""

    def __init__(self, fleet: 'Fleet', name: str) -> None:
        self._fleet = fleet
        self._name = name

    async def wait_for_members(self) -> None:
        """Return at once, since all members are known from the start."""

    def allocator(self) -> str | None:
        found = self._fleet.allocator
        return None if found == self._name else found

    def is_cut_off(self) -> bool:
        others = [name for name in self._fleet.names if name != self._name]
        return bool(others) and not any(
            self._fleet.is_linked(self._name, name) for name in others
        )

    def fallback_allocators(self) -> list[str]:
        skipped = {self._name, self._fleet.allocator}
        return [
            name for name in self._fleet.reserve_hosts if name not in skipped
        ][:MAX_FALLBACK_ALLOCATORS]

    def holds_reserve(self) -> bool:
        return self._name in self._fleet.reserve_hosts

    async def draw(self, peer: str, draw: DrawRequest) -> DrawResult | None:
        await asyncio.sleep(self._fleet.delay_s)
        if not self._fleet.is_linked(self._name, peer):
            return None
        return await self._fleet.keepers[peer].serve_draw(draw)

    def note_unresponsive(self, peer: str) -> None:
        """Do nothing, since the test chooses the allocator."""

    def lenders(self) -> list[str]:
        return [
            name for name in self._fleet.reserve_hosts if name != self._name
        ]

    async def lendable(self, peer: str, team: str) -> int | None:
        await asyncio.sleep(0)
        if not self._fleet.is_linked(self._name, peer):
            return 0
        return self._fleet.keepers[peer].lendable(team)

    async def borrow(self, peer: str, team: str, tokens: int) -> int:
        await asyncio.sleep(0)
        if not self._fleet.is_linked(self._name, peer):
            return 0
        return self._fleet.keepers[peer].lend(team, tokens)

    async def renew(self, peer: str, renewal: Renewal) -> Renewed | None:
        await asyncio.sleep(0)
        if not self._fleet.is_linked(self._name, peer):
            return None
        return await self._fleet.keepers[peer].renew(renewal)

    async def is_answering(self, peer: str, team: str) -> bool:
        await asyncio.sleep(0)
        return self._fleet.is_linked(self._name, peer)

    async def hand_over(self, peer: str, team: str, tokens: int) -> bool:
        await asyncio.sleep(0)
        if peer in self._fleet.down:
            # A host that does not answer may have received the tokens.
            return True
        if not self._fleet.is_linked(self._name, peer):
            return False
        self._fleet.keepers[peer].take_over(team, tokens)
        return True

    async def share_ledger(self, copy):
        await asyncio.sleep(self._fleet.delay_s)
        others = [
            name
            for name in self._fleet.reserve_hosts
            if self._fleet.is_linked(self._name, name)
        ]
        for name in others[:MAX_LEDGER_COPIES]:
            self._fleet.keepers[name].remember_ledger(copy)

    async def remembered_ledgers(self):
        await asyncio.sleep(self._fleet.delay_s)
        copies = [
            keeper.remembered_ledger
            for name, keeper in self._fleet.keepers.items()
            if self._fleet.is_linked(self._name, name)
        ]
        return [copy for copy in copies if copy]


class Fleet:
    """Run keepers and count delivered tokens, also over their restarts."""

    def __init__(self, *, store, prepaid: int, size: int) -> None:
        self.store = store
        self.prepaid = prepaid
        self.names = [f'd{number}' for number in range(size)]
        self.reserve_hosts = self.names[:MAX_RESERVE_HOSTS]
        self.allocator = self.names[0]
        self.keepers: dict[str, GrantKeeper] = {}
        self.clocks = {name: Clocks() for name in self.names}
        self.delivered = 0
        self.is_cut = False
        self.delay_s = 0.0
        self.down: set[str] = set()
        self.reaches_store = True
        # Daemons that reach neither the store nor peers, but serve requests.
        self.isolated: set[str] = set()
        self.stores: dict[str, MemoryObjectStore] = {}
        self._starts = 0
        self._added = 0
        self._jobs: dict[str, list[asyncio.Task]] = {}
        for name in self.names:
            self.start(name)

    def is_linked(self, name: str, peer: str) -> bool:
        """Return whether a keeper reaches another one."""
        unreachable = self.down | self.isolated
        return not (
            self.is_cut
            or name == peer
            or unreachable & {name, peer}
            or peer not in self.keepers
        )

    def start(self, name: str) -> None:
        """Start or restart a keeper, which loses its state in memory."""
        was_running = self.stop(name)
        self.down.discard(name)
        self._starts += 1
        clocks = self.clocks[name]
        clocks.started = clocks.now()
        self.keepers[name] = GrantKeeper(
            store=self.stores.get(name, self.store),
            kind=KIND,
            process=GrantProcess(
                host=name,
                holder=f'{name}/{self._starts}',
                is_first_start=self._starts <= len(self.names),
            ),
            peers=Peers(self, name),
            prepaid=lambda _: self.prepaid,
            reaches_store=lambda: (
                self.reaches_store and name not in self.isolated
            ),
            clock=asyncio.get_running_loop().time,
            host_clocks=clocks,
            rng=random.Random(self._starts),
        )
        if was_running:
            self.run(name)

    def run(self, *names: str) -> None:
        """Run the background jobs of these keepers, or of all."""
        for name in names or self.names:
            keeper = self.keepers[name]
            self._jobs[name] = [
                asyncio.create_task(keeper.run()),
                asyncio.create_task(keeper.run_reserve()),
            ]

    def stop(self, *names: str) -> bool:
        """Stop the background jobs of these keepers, or of all."""
        found = [
            job
            for name in names or self.names
            for job in self._jobs.pop(name, ())
        ]
        for job in found:
            job.cancel()
        return bool(found)

    def replace(self, *lost: str) -> list[str]:
        """Remove hosts for good and add others at new addresses."""
        added = []
        for name in lost:
            self.stop(name)
            self.down.add(name)
            del self.keepers[name]
            self._added += 1
            new = f'n{self._added}'
            added.append(new)
            self.names[self.names.index(name)] = new
            self.clocks[new] = Clocks()
        self.reserve_hosts = self.names[:MAX_RESERVE_HOSTS]
        if self.allocator in lost:
            self.allocator = self.names[0]
        for name in added:
            self.start(name)
            self.run(name)
        return added

    async def kill_all(self, down_s: float, *, power: bool) -> None:
        """Kill all keepers and restart them after `down_s`.

        With `power`, their hosts reboot as well.
        """
        jobs = self.stop()
        self.down = set(self.names)
        await asyncio.sleep(down_s)
        for name in self.names:
            if power:
                self.clocks[name].boot_id = f'boot {self._starts}'
                self.clocks[name].boot_began = asyncio.get_running_loop().time()
            self.start(name)
        if jobs:
            self.run()

    async def request(
        self, name: str, most: int, used: int, seconds: float = 0.1
    ) -> None:
        """Serve a request that uses `used` tokens and takes `seconds`.

        Tokens count as delivered even if the daemon is killed before it
        settles them.
        """
        keeper = self.keepers[name]
        held = await keeper.reserve(TEAM, most)
        assert held is not None
        if self.keepers.get(name) is not keeper:
            # The daemon was killed during the reservation and delivers nothing.
            return
        self.delivered += used
        await asyncio.sleep(seconds)
        keeper.settle(held, used)
