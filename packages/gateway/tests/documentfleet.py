"""Simulated daemons that follow one configuration, by the store and by peers.

Links and calls take simulated time. A test makes links silent, has the store
refuse hosts, and asks when each host applied which version.
"""

import asyncio
import math
import random

import orjson

from oriolegauge.gateway.fleetlayout import heartbeat_period_s
from oriolegauge.gateway.gateway import MEMBERS_MAX_AGE_S, MEMBERS_POLL_S
from oriolegauge.gateway.kindfollower import KindFollower
from oriolegauge.gateway.memberregistration import MemberRegistration
from oriolegauge.gateway.rankedmembers import FleetMember
from oriolegauge.gateway.shareddocuments import SharedDocuments
from oriolegauge.membership.membertable import SUSPECT_AFTER_S
from oriolegauge.mesh import ReceivedHeartbeat
from oriolegauge.objectstore import (
    Changes,
    HistoryLostError,
    Snapshot,
    StoredObject,
    StoreUnavailableError,
    StoreUnreachableError,
    era_of,
    revision_of,
    store_version,
)
from oriolegauge.wire import PeerTimeoutError, PeerUnreachableError, Sender

from .test_fleetlinks import AlivePeer, links_of

CONFIG = 'config'
CONFIG_KEY = 'config/main'
MEMBERS = 'members'
CALL_S = 0.004
MESSAGE_S = 0.002
STORE_TIMEOUT_S = 1.0
MIN_HEARTBEAT_PAUSE_S = 0.05
MAX_READING_AGE_S = 2.0
STRONG_EVERY = 14
START_SPREAD_S = 0.3
# Hosts with less processor time are ready later by this time.
SLOWER_START_S = 0.8
ZONES = 3


class ModelStore:
    """Keep objects and their history; refuse or ignore some hosts."""

    def __init__(self, rng):
        self.clock = asyncio.get_running_loop().time
        self.refused = set()
        self.ignored = set()
        self.lost_replies = 0
        self.calls = 0
        self.era = 0
        self._rng = rng
        self._revision = 0
        self._oldest = 0
        self._objects = {}
        # Times, revisions and objects after each change.
        self._copies = []
        self._changed = asyncio.Event()
        self._version = 0

    @property
    def revision(self):
        return store_version(self.era, self._revision)

    def put(self, key, value):
        """Confirm an object."""
        self._revision += 1
        self._objects[key] = StoredObject(key, self.revision, value)
        self._copies.append((self.clock(), self._revision, {**self._objects}))
        self._wake()

    def change(self, **values):
        """Confirm a new version of the configuration and return it."""
        self._version += 1
        self.put(CONFIG_KEY, {'version': self._version, **values})
        return self._version

    def drop_history(self):
        """Forget which changes led to the present objects."""
        self._oldest = self._revision

    def restore(self, age_s):
        """Come back from a copy of that age, in a new era."""
        at = self.clock() - age_s
        kept = [copy for copy in self._copies if copy[0] <= at]
        _, self._revision, objects = kept[-1] if kept else self._copies[0]
        self.era += 1
        self._oldest = self._revision
        self._objects = {
            key: StoredObject(
                key,
                store_version(self.era, revision_of(entry.version)),
                entry.value,
            )
            for key, entry in objects.items()
        }
        self._copies = [(self.clock(), self._revision, {**self._objects})]
        self._wake()

    def objects(self, kind, after=0):
        """Return the objects of a kind that changed after a revision."""
        return [
            entry
            for key, entry in self._objects.items()
            if key.startswith(f'{kind}/') and entry.version > after
        ]

    def check_history(self, after):
        if era_of(after) < self.era or revision_of(after) < self._oldest:
            raise HistoryLostError('the history is gone')

    async def wait_for_change(self, kind, after, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                while not self.objects(kind, after):
                    await self._changed.wait()
        except TimeoutError:
            return

    def loses_reply(self):
        return self._rng.random() < self.lost_replies

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()


class HostStore:
    """The store as one host reaches it; `era` is that of the last reply."""

    def __init__(self, store, host):
        self.store = store
        self.host = host
        self.era = 0

    async def put(self, key, value, expected_version):
        await self._call()
        self.store.put(key, value)

    async def snapshot(self, kind):
        await self._call()
        return Snapshot(self.store.objects(kind), self.store.revision)

    async def changes(self, kind, after, wait_s):
        await self._call(wait_s)
        self.store.check_history(after)
        await self.store.wait_for_change(kind, after, wait_s)
        await self._call(counted=0)
        self.store.check_history(after)
        changed = self.store.objects(kind, after)
        return Changes(changed, [], self.store.revision)

    async def _call(self, wait_s=0, counted=1):
        self.store.calls += counted
        if self.host in self.store.ignored or self.store.loses_reply():
            await asyncio.sleep(wait_s + STORE_TIMEOUT_S)
            raise StoreUnreachableError('no answer')
        await asyncio.sleep(CALL_S / 2)
        if self.host in self.store.refused:
            raise StoreUnavailableError('busy')
        self.era = self.store.era


class ModelLink:
    """One connection; `is_silent` loses all that is sent on it."""

    supports_permits = False
    supports_stream_starts = False

    def __init__(self, fleet, owner, peer):
        self._fleet = fleet
        self._owner = owner
        self._peer = peer
        self.is_silent = False
        self.is_open = True

    @property
    def connected(self):
        return self.is_open and self._peer in self._fleet.hosts

    async def call(self, message, timeout_s):
        if not self.connected:
            raise PeerUnreachableError(f'no link to {self._peer}')
        if self.is_silent:
            await asyncio.sleep(timeout_s)
            raise PeerTimeoutError('no answer')
        await asyncio.sleep(MESSAGE_S)
        peer = self._fleet.hosts[self._peer]
        answer = await peer.links.answer(Sender(self._owner, '1'), message)
        await asyncio.sleep(MESSAGE_S)
        if self._owner in self._fleet.hosts:
            self._fleet.hosts[self._owner].mesh.note_contact(self._peer)
        return answer


class ModelMesh:
    """The links of one host, and the heartbeats that it got."""

    def __init__(self, fleet, owner):
        self._fleet = fleet
        self._owner = owner
        self._contact_at = {}
        self._muted = set()
        self.names = {}
        self.heartbeats = {}
        self.heartbeat_requested = asyncio.Event()

    def link(self, name):
        if name not in self.names:
            raise PeerUnreachableError(f'{name} is not a configured peer')
        return self.names[name]

    def add_peer(self, name, _):
        self.names[name] = ModelLink(self._fleet, self._owner, name)

    def remove_peer(self, name):
        self.names.pop(name)
        self.heartbeats.pop(name, None)

    def suppress_heartbeats(self, names):
        self._muted = set(names)

    def send_heartbeat_soon(self):
        self.heartbeat_requested.set()

    def note_contact(self, name):
        self._contact_at[name] = self._fleet.clock()

    def peers(self):
        oldest = self._fleet.clock() - SUSPECT_AFTER_S
        return [
            AlivePeer(name)
            for name, link in self.names.items()
            if link.connected and self._contact_at.get(name, oldest) > oldest
        ]

    def send_heartbeat(self, message):
        for name, link in self.names.items():
            if (
                link.connected
                and not link.is_silent
                and name not in self._muted
            ):
                asyncio.get_running_loop().call_later(
                    MESSAGE_S, self._fleet.deliver, name, message
                )


class ModelHost:
    """One daemon: its links, documents and followers."""

    def __init__(self, fleet, name):
        self.name = name
        self.clock = fleet.clock
        self.mesh = ModelMesh(fleet, name)
        self.in_force = []
        self.documents = SharedDocuments(
            self._apply, rank=_rank, clock=self.clock
        )
        self._store = HostStore(fleet.store, name)
        self.follower = self._follow(CONFIG)
        self._members = self._follow(
            MEMBERS,
            max_reading_age_s=MEMBERS_MAX_AGE_S,
            long_poll_s=MEMBERS_POLL_S,
        )
        self.links, self.grants = links_of(
            name,
            [],
            self.clock,
            reaches_store=lambda: not self.follower.is_store_unavailable,
            capacity_classes=fleet.capacity_classes,
            zones=fleet.zones,
            documents=self.documents,
            mesh=self.mesh,
        )
        self.links.attach_watch(lambda: self.follower.is_watching)
        self.links.add_later_document(MEMBERS)
        self.registration = MemberRegistration(
            store=self._store,
            kind=MEMBERS,
            own=FleetMember(
                name=name,
                zone=fleet.zones[name],
                capacity_class=fleet.capacity_classes.get(name, 0),
            ),
        )

    @property
    def version(self):
        return self.in_force[-1][1] if self.in_force else 0

    def applied_at(self, version):
        """Return when that version or a newer one came into force."""
        return next((at for at, one in self.in_force if one >= version), None)

    async def run(self, starts_after_s):
        await asyncio.sleep(starts_after_s)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.registration.run())
            group.create_task(self._members.run())
            group.create_task(self.follower.run())
            group.create_task(self._send_heartbeats())

    def _follow(self, kind, max_reading_age_s=MAX_READING_AGE_S, **options):
        return KindFollower(
            store=self._store,
            kind=kind,
            documents=self.documents,
            max_reading_age_s=max_reading_age_s,
            clock=self.clock,
            is_watcher=lambda: self.links.is_watcher(),
            is_leader=lambda: self.links.is_leader(),
            on_store_regained=lambda: None,
            on_first_attempt=lambda: None,
            **options,
        )

    def link_leaders(self):
        """Open the links that requests for tokens and permits open."""
        self.links.limiter()
        self.links.aggregator_host()
        self.links.other_aggregators()
        self.grants.lenders()

    def _apply(self, kind, document):
        rows = orjson.loads(document.payload)
        if kind == MEMBERS:
            self.links.list_members(self.registration.listed(rows))
        elif rows:
            self.in_force.append((self.clock(), _rank(kind, document)))
        self.links.announce_change()

    async def _send_heartbeats(self):
        rng = random.Random(self.name)
        if rng.random() < 0.5:
            self.link_leaders()
        await asyncio.sleep(rng.uniform(0, 0.2))
        while True:
            self.mesh.heartbeat_requested.clear()
            self.mesh.send_heartbeat(self.links.heartbeat())
            self.links.apply_heartbeats()
            await asyncio.sleep(MIN_HEARTBEAT_PAUSE_S)
            rest_s = heartbeat_period_s(self.links.members)
            try:
                async with asyncio.timeout(rest_s - MIN_HEARTBEAT_PAUSE_S):
                    await self.mesh.heartbeat_requested.wait()
            except TimeoutError:
                continue


def _rank(kind, document):
    rows = orjson.loads(document.payload)
    if not rows or kind != CONFIG:
        return 0
    value = rows[0]['value']
    return None if value.get('is_invalid') else value['version']


class DocumentFleet:
    """A fleet of hosts, one in STRONG_EVERY of a higher capacity class."""

    def __init__(self, size, seed=0):
        # Followers draw from the shared generator.
        random.seed(seed)
        self.rng = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.store = ModelStore(self.rng)
        numbers = self.rng.sample(range(100, 1000), size)
        self.names = [f'10.0.0.{number}:7000' for number in numbers]
        self.capacity_classes = dict.fromkeys(self.names[::STRONG_EVERY], 2)
        self.zones = {
            name: f'z{number % ZONES}' for number, name in enumerate(self.names)
        }
        self.hosts = {}
        self._tasks = {}
        self._answers = set()

    def start(self):
        """Start all hosts, those of the higher capacity class first."""
        self.store.change()
        for name in self.names:
            starts_after_s = self.rng.uniform(0, START_SPREAD_S)
            if name not in self.capacity_classes:
                starts_after_s += SLOWER_START_S
            self._start_host(name, starts_after_s)

    def restart(self, names):
        """End daemons and start them again at the same addresses."""
        self.lose(names)
        for name in names:
            self._start_host(name, starts_after_s=0)

    def _start_host(self, name, starts_after_s):
        host = ModelHost(self, name)
        self.hosts[name] = host
        self._tasks[name] = asyncio.create_task(host.run(starts_after_s))

    def lose(self, names):
        """End the daemons without a goodbye."""
        for name in names:
            del self.hosts[name]
            self._tasks[name].cancel()

    async def stop(self):
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def deliver(self, name, message):
        host = self.hosts.get(name)
        if host is None:
            return
        host.mesh.note_contact(message.member)
        host.mesh.heartbeats[message.member] = ReceivedHeartbeat(
            message, self.clock()
        )
        answer = asyncio.create_task(
            host.links.answer(Sender(message.member, '1'), message)
        )
        self._answers.add(answer)
        answer.add_done_callback(self._answers.discard)

    def silence_links(self, share, noticed_after_s):
        """Make links silent for good; each is replaced once noticed."""
        for host in self.hosts.values():
            for link in host.mesh.names.values():
                if self.rng.random() < share:
                    link.is_silent = True
                    if noticed_after_s < math.inf:
                        asyncio.get_running_loop().call_later(
                            noticed_after_s, _replace, link
                        )

    def late(self, version, within_s, changed_at):
        """Return hosts in which the version was not in force in time."""
        return [
            name
            for name, host in self.hosts.items()
            if (host.applied_at(version) or 1e9) > changed_at + within_s
        ]

    def watchers(self):
        """Return the names of the hosts that watch the store."""
        return [
            name
            for name, host in self.hosts.items()
            if host.follower.watches_store
        ]

    def sample(self, share):
        """Return that share of the names of the hosts."""
        return self.rng.sample(self.names, round(share * len(self.names)))


def _replace(link):
    link.is_silent = False
