"""Simulated fleet of configuration followers and operators.

It runs on a simulated clock, with faults of the store and of links.
"""

import asyncio
import copy
import random
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import looptime

from oriolegauge.cli.errors import ChangeUnknownError
from oriolegauge.cli.operator import Operator, editable_part
from oriolegauge.config import (
    ConfigFollower,
    ConfigTree,
    DaemonSettings,
    PeerConfig,
)
from oriolegauge.core import OriolegaugeError
from oriolegauge.objectstore import StoredObject, StoreUnavailableError
from oriolegauge.testkit import MemoryObjectStore, StoreFault

HEARTBEAT_S = 0.5
ZONES = {'d1': 'a', 'd2': 'a', 'd3': 'b', 'd4': 'b'}


class LoggedStore(MemoryObjectStore):
    """Record every applied change with its time."""

    def __init__(self, clock) -> None:
        super().__init__()
        self.clock = clock
        self.log: list[tuple[float, StoredObject, Any]] = []
        self.valid: list[tuple[float, StoredObject]] = []
        self.backup: tuple[dict, int] = ({}, 0)
        self.restarted = asyncio.Event()
        self.highest: dict[str, int] = {}
        # Keys whose versions were assigned a second time after a restore.
        self.reused: set[str] = set()

    async def _apply(self, key, value, expected_version):
        before = self.objects.get(key)
        stored = await super()._apply(key, value, expected_version)
        if key.startswith('config/'):
            self.log.append((self.clock(), stored, before and before.value))
            self.valid.append((self.clock(), stored))
            if stored.version <= self.highest.get(key, 0):
                self.reused.add(key)
            else:
                self.reused.discard(key)
                self.highest[key] = stored.version
        return stored

    def save(self) -> None:
        self.backup = (copy.deepcopy(self.objects), self._revision)

    def restore(self) -> None:
        self.objects, self._revision = copy.deepcopy(self.backup)
        # Changes that the backup lacks are lost, so nodes need not hold them.
        self.valid = [
            (at, row)
            for at, row in self.valid
            if row.key in self.objects
            and row.version <= self.objects[row.key].version
        ]
        self.restarted.set()
        self.restarted = asyncio.Event()
        self.reused.update(
            key
            for key, version in self.highest.items()
            if key not in self.objects or self.objects[key].version < version
        )


class StorePath:
    """Connection of a daemon to the store, which can fail or hang."""

    def __init__(self, store: LoggedStore) -> None:
        self.store = store
        self.cut = False
        self.hangs = False

    async def get(self, key):
        await self._check_path()
        return await self.store.get(key)

    async def list_objects(self, prefix):
        await self._check_path()
        return await self.store.list_objects(prefix)

    async def watch(self, prefix, after) -> AsyncIterator[StoredObject]:
        await self._check_path()
        changes = asyncio.Queue()
        feed = asyncio.create_task(self._feed(prefix, after, changes))
        restarted = asyncio.create_task(self.store.restarted.wait())
        restarted.add_done_callback(lambda _: changes.put_nowait(None))
        try:
            while (stored := await changes.get()) is not None:
                if self.cut:
                    # A cut watch gets no more data, even when the path
                    # works again.
                    await asyncio.Event().wait()
                yield stored
            raise StoreUnavailableError('the store restarted')
        finally:
            feed.cancel()
            restarted.cancel()

    async def _feed(self, prefix, after, changes) -> None:
        async for stored in self.store.watch(prefix, after):
            changes.put_nowait(stored)

    async def _check_path(self) -> None:
        if self.cut and self.hangs:
            await asyncio.Event().wait()
        if self.cut:
            raise StoreUnavailableError('cut')


class Node:
    """Follower of a daemon, with the heartbeats and changes it received."""

    def __init__(self, world: 'SimulatedFleet', name: str) -> None:
        self.world = world
        self.name = name
        self.path = StorePath(world.store)
        self.received: dict[str, PeerConfig] = {}
        self.applied: list[tuple[str, int]] = []
        self.start()

    def start(self) -> None:
        self.received = {}
        self.applied = []
        self.tree = self.world.tree_type()
        self.ready_seen = False
        self.started_at = self.world.now
        self.follower = self.world.follower_type(
            settings=settings_of(self.name),
            tree=self.tree,
            store=self.path,
            peers=self,
            clock=self.world.loop.time,
            rng=random.Random(self.name),
            on_applied=self._record_applied,
        )
        self.task = self.world.loop.create_task(self.follower.run())

    def last_heartbeats(self):
        return self.received.values()

    async def fetch(self, peer, key):
        await asyncio.sleep(0.01)
        if not self.world.linked(self.name, peer):
            await asyncio.Event().wait()
        other = self.world.nodes[peer]
        if other.stale_answers:
            # The answer to an earlier fetch arrives late, with an old object.
            old = [row for _, row, _ in self.world.store.log if row.key == key]
            return old[0] if old else None
        return other.tree.stored(key)

    stale_answers = False

    def heartbeat(self) -> PeerConfig:
        now = self.world.now
        return PeerConfig(
            name=self.name,
            zone=ZONES[self.name],
            versions=self.tree.versions,
            received_at=now,
            store_age_s=self.follower.store_age_s(now),
            watching=self.follower.watching,
        )

    def receive(self, news: PeerConfig) -> None:
        self.received[news.name] = replace(news, received_at=self.world.now)
        self.follower.request_check()

    def _record_applied(self, key: str) -> None:
        self.applied.append((key, self.tree.versions[key]))


class SimulatedFleet:
    """Followers, links, a store and operators on one simulated clock."""

    tree_type = ConfigTree
    follower_type = ConfigFollower
    operator_type = Operator
    # Latency of a heartbeat.
    delay_s = 0.001

    def __init__(self, **types: type) -> None:
        vars(self).update(types)
        self.loop = looptime.new_event_loop(start=1_000)
        self.store = LoggedStore(self.loop.time)
        self.cut_links: set[frozenset[str]] = set()
        self.outcomes: dict[str, str] = {}
        self.nodes: dict[str, Node] = {}
        self.nodes.update({name: Node(self, name) for name in ZONES})
        self.heartbeats = self.loop.create_task(self._send_heartbeats())

    @property
    def now(self) -> float:
        return self.loop.time()

    def advance(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def close(self) -> None:
        tasks = [self.heartbeats, *(node.task for node in self.nodes.values())]
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()

    def linked(self, left: str, right: str) -> bool:
        return frozenset((left, right)) not in self.cut_links

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        node.task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(node.task, return_exceptions=True)
        )
        node.start()

    def operate(self, *edits) -> None:
        """Run one operator per edit, all at the same time."""
        self.loop.run_until_complete(self._operate(edits))

    def reachable(self) -> set[str]:
        """Return the daemons that reach the store, also through peers."""
        if self.store.fault is not StoreFault.NONE:
            return set()
        found = {name for name, node in self.nodes.items() if not node.path.cut}
        while True:
            more = {
                name
                for name in self.nodes
                if any(self.linked(name, other) for other in found - {name})
            }
            if more <= found:
                return found
            found |= more

    async def _operate(self, edits) -> None:
        await asyncio.gather(*(self._edit(*edit) for edit in edits))

    async def _edit(self, key, change) -> None:
        author = f'op{len(self.outcomes)}'
        self.outcomes[author] = 'running'
        operator = self.operator_type(
            self.store, author=author, clock=self.loop.time
        )
        try:
            await operator.change(key, change)
        except ChangeUnknownError:
            self.outcomes[author] = 'unknown'
        except OriolegaugeError as error:
            self.outcomes[author] = error.code.name
        else:
            self.outcomes[author] = 'done'

    async def _send_heartbeats(self) -> None:
        while True:
            for name, node in self.nodes.items():
                news = node.heartbeat()
                for other, receiver in self.nodes.items():
                    if other != name and self.linked(name, other):
                        self.loop.call_later(
                            self.delay_s, receiver.receive, news
                        )
            await asyncio.sleep(HEARTBEAT_S)


def settings_of(name: str) -> DaemonSettings:
    return DaemonSettings(
        name=name,
        zone=ZONES[name],
        address='127.0.0.1',
        caller_port=1,
        admin_port=2,
        peer_port=3,
        store_url='http://127.0.0.1:7000',
    )


def changed_leaves(before: Any, after: Any) -> set[str]:
    """Return the leaves that differ, as text.

    It does not use the diff of the tool, which it checks.
    """
    return {
        str(row)
        for row in set(_leaves(editable_part(before or {})))
        ^ set(_leaves(editable_part(after)))
    }


def _leaves(value: Any, path: str = '') -> list[tuple[str, str]]:
    if isinstance(value, dict):
        return [
            leaf
            for name, part in value.items()
            for leaf in _leaves(part, f'{path}.{name}')
        ]
    return [(path, repr(value))]
