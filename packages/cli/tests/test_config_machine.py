"""Fuzz test of configuration followers and operators under faults.

Faults of the store and of links come in random order. The test guards against
a configuration that is late, reverts or loses the change of an operator.
"""

import os
from dataclasses import replace

import pytest
import structlog
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from oriolegauge.cli.operator import Operator
from oriolegauge.config import ConfigFollower, ConfigTree
from oriolegauge.config.configtree import TEAM_PREFIX
from oriolegauge.config.storewatch import StoreWatch
from oriolegauge.testkit import StoreFault
from oriolegauge.testkit.fuzzing import Budget, seeded

from .configworld import ZONES, SimulatedFleet, changed_leaves

CHANGE_DEADLINE_S = 5
CURRENT_MAX_AGE_S = 10
NAMES = st.sampled_from(sorted(ZONES))
TEAMS = st.sampled_from(('cafes', 'taxis'))
PRIORITIES = st.sampled_from(('urgent', 'normal', 'batch'))
FAULTS = st.lists(
    st.sampled_from(
        (StoreFault.NONE, StoreFault.LOSE_BEFORE, StoreFault.LOSE_AFTER)
    ),
    max_size=4,
)


def add_key(number):
    entry = {f'{number:064x}': {'budget': f'b{number}'}}
    return lambda tree: {**tree, 'keys': {**tree.get('keys', {}), **entry}}


def set_priority(priority):
    return lambda tree: {**tree, 'priority': priority}


CHANGES = st.one_of(
    st.integers(0, 40).map(add_key), PRIORITIES.map(set_priority)
)


class ConfigMachine(RuleBasedStateMachine):
    """Compare followers and operators with the change log of the store."""

    types: dict = {}

    def __init__(self, types=None):
        super().__init__()
        self.world = SimulatedFleet(**(types or self.types))
        self.world.advance(1)

    def teardown(self):
        self.world.close()

    @rule(team=TEAMS, changes=st.lists(CHANGES, min_size=1, max_size=3))
    def race(self, team, changes):
        self.world.operate(*((TEAM_PREFIX + team, row) for row in changes))

    @rule(team=TEAMS, changes=st.lists(CHANGES, min_size=2), faults=FAULTS)
    def race_with_lost_answers(self, team, changes, faults):
        self.world.store.next_faults = faults
        self.world.operate(*((TEAM_PREFIX + team, row) for row in changes[:3]))
        self.world.store.next_faults = []

    @rule(seconds=st.sampled_from((0.1, 0.7, 3.0, 11.0)))
    def pause(self, seconds):
        self.world.advance(seconds)

    @rule(outage=st.booleans())
    def switch_store(self, outage):
        fault = StoreFault.OUTAGE if outage else StoreFault.NONE
        self.world.store.fault = fault

    @rule(name=NAMES, cut=st.booleans(), hangs=st.booleans())
    def cut_store_path(self, name, cut, hangs):
        path = self.world.nodes[name].path
        path.cut, path.hangs = cut, hangs

    @rule(name=NAMES)
    def leave_one_store_path(self, name):
        for other, node in self.world.nodes.items():
            node.path.cut = other != name

    @rule(left=NAMES, right=NAMES)
    def cut_link(self, left, right):
        self.world.cut_links ^= {frozenset((left, right))}

    @rule(group=st.sets(NAMES, min_size=1, max_size=3))
    def cut_off(self, group):
        """Partition a group of daemons from the store and the others."""
        for name in group:
            self.world.nodes[name].path.cut = True
        self.world.cut_links |= {
            frozenset((name, other))
            for name in group
            for other in ZONES
            if other not in group
        }

    @rule()
    def heal(self):
        self.world.cut_links.clear()
        self.world.store.fault = StoreFault.NONE
        for node in self.world.nodes.values():
            node.path.cut = node.stale_answers = False

    @rule(name=NAMES, stale=st.booleans())
    def answer_stale(self, name, stale):
        self.world.nodes[name].stale_answers = stale

    @rule(name=NAMES)
    def restart(self, name):
        self.world.restart(name)

    @rule(name=NAMES, seconds=st.sampled_from((0.3, 1.9, 4.0)))
    def restart_in_outage(self, name, seconds):
        self.world.store.fault = StoreFault.OUTAGE
        self.world.restart(name)
        self.world.advance(seconds)

    @rule()
    def back_up(self):
        self.world.store.save()

    @rule()
    def restore(self):
        self.world.store.restore()

    @rule(team=TEAMS, change=CHANGES)
    def change_and_wait(self, team, change):
        """Without new faults, a change is in force everywhere within 5 s."""
        for node in self.world.nodes.values():
            node.stale_answers = False
        self.world.operate((TEAM_PREFIX + team, change))
        self.world.advance(CHANGE_DEADLINE_S)
        store = self.world.store
        for name in self.world.reachable():
            held = self.world.nodes[name].tree.versions
            for key, stored in store.objects.items():
                if key.startswith('config/') and key not in store.reused:
                    assert held.get(key, 0) >= stored.version, (name, key)
            assert self.world.nodes[name].follower.ready
            assert self.world.nodes[name].follower.current(self.world.now)

    @invariant()
    def versions_never_decrease(self):
        for node in self.world.nodes.values():
            highest = {}
            for key, version in node.applied:
                assert version > highest.get(key, 0), (node.name, key)
                highest[key] = version
            for key, version in node.tree.versions.items():
                held = node.tree.stored(key).value
                assert any(
                    row.key == key
                    and row.version == version
                    and row.value == held
                    for _, row, _ in self.world.store.log
                )

    @invariant()
    def current_follower_has_recent_versions(self):
        """A follower that reports `current` holds what was stored 10 s ago."""
        now = self.world.now
        for node in self.world.nodes.values():
            if not node.follower.current(now):
                continue
            for at, stored in self.world.store.valid:
                held = node.tree.versions.get(stored.key, 0)
                if at < now - CURRENT_MAX_AGE_S - 0.5:
                    assert held >= stored.version, (node.name, stored.key)

    @invariant()
    def ready_follower_holds_versions_of_peers(self):
        world = self.world
        cut = world.store.fault is not StoreFault.NONE
        for node in world.nodes.values():
            newly = node.follower.ready and not node.ready_seen
            node.ready_seen = node.follower.ready
            if not newly or not (cut or node.path.cut):
                continue
            for key, version in self.versions_of_peers(node):
                held = node.tree.versions.get(key, 0)
                assert held >= version, (node.name, key)
            assert node.follower.store_age_s(world.now) is not None

    def versions_of_peers(self, node):
        # Versions that a linked peer held 5 s before this node started. A peer
        # may have received others since its last heartbeat.
        for peer in linked_peers(self.world, node):
            for key, version in peer.tree.versions.items():
                if peer.started_at < node.started_at and any(
                    row.key == key
                    and row.version == version
                    and at < node.started_at - 5
                    for at, row, _ in self.world.store.log
                ):
                    yield key, version

    @invariant()
    def operators_lose_no_change(self):
        store = self.world.store
        committed = []
        for _, stored, before in store.log:
            author = stored.value['changes'][-1]['author']
            committed.append(author)
            known = {row['author'] for row in (before or {}).get('changes', [])}
            assert author not in known, 'applied twice'
            # A change replaces or adds one value and touches no other one.
            assert len(changed_leaves(before, stored.value)) <= 2
        assert len(committed) == len(set(committed)), 'applied twice'
        for author, outcome in self.world.outcomes.items():
            if outcome == 'STORE_CONFLICT':
                assert author not in committed


def linked_peers(world, node):
    return [
        peer
        for name, peer in world.nodes.items()
        if name != node.name and world.linked(name, node.name)
    ]


class VersionIgnoringTree(ConfigTree):
    """Apply every object, even one of a lower version."""

    def version(self, key):
        return 0


class OverwritingOperator(Operator):
    """Overwrite the stored object without a check of its version."""

    async def _try_put(self, current, target):
        found = await self._store.get(current.key)
        version = found.version if found else 0
        return await self._store.put(current.key, target, version)


class ReapplyingOperator(Operator):
    """Treat a lost answer as a change that was not applied."""

    async def _read_back(self, key, change_id):
        found = await super()._read_back(key, change_id)
        return replace(found, value={**found.value, 'changes': []})


class ElectedOnlyFollower(ConfigFollower):
    """Watch the store only while elected, even if watchers fail."""

    def _watches(self, now):
        reachable_peers = self._reachable_peers(now)
        return self._is_elected(self._name, self._zone, reachable_peers)


class UncheckedReadyFollower(ConfigFollower):
    """Become ready at once, whatever configuration is held."""

    def _is_complete_enough(self, now, reachable_peers, covered):
        return True


class UncheckedPeerTrustingFollower(ConfigFollower):
    """Count as current by a peer's report without holding its versions."""

    def _refresh(self, now):
        super()._refresh(now)
        if any(
            peer.store_age_s is not None for peer in self._reachable_peers(now)
        ):
            self._contact_at = now


class ProbeOnlyWatch(StoreWatch):
    """Take every answer to a probe as proof that the watch works."""

    async def _probe(self, now):
        self._note_contact(now)
        return True


class ProbeOnlyFollower(ConfigFollower):
    def __init__(self, **parts):
        super().__init__(**parts)
        self._watch.__class__ = ProbeOnlyWatch


def check_each_as_only_store_path(types):
    """Make each daemon the only one that reaches the store.

    Its own path fails silently before that, so that its old watch is useless.
    """
    for name in ZONES:
        machine = ConfigMachine(types)
        node = machine.world.nodes[name]
        try:
            machine.pause(2)
            node.path.cut = True
            machine.race('cafes', [add_key(1)])
            machine.leave_one_store_path(name)
            machine.change_and_wait('cafes', add_key(2))
        finally:
            machine.teardown()


def run_machine(machine, *, steps=25, examples=30):
    options = settings(
        max_examples=int(os.environ.get('FUZZ_STEPS', examples)),
        stateful_step_count=steps,
        deadline=None,
        derandomize='FUZZ_SEED' not in os.environ,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate,),
        report_multiple_bugs=False,
    )
    if 'FUZZ_SEED' in os.environ:
        machine = seeded(machine, os.environ['FUZZ_SEED'])
    run_state_machine_as_test(machine, settings=options)


@pytest.fixture(autouse=True)
def silence_logs():
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    yield
    structlog.reset_defaults()


@pytest.mark.fuzz
class TestConfigMachine:
    """Guard P8: changes in force within 5 s, never reverted, never lost."""

    def test_configuration_survives_random_faults(self):
        run_machine(ConfigMachine)

    def test_any_daemon_can_be_the_only_store_path(self):
        check_each_as_only_store_path({})

    @pytest.mark.parametrize(
        'follower', [ElectedOnlyFollower, ProbeOnlyFollower]
    )
    def test_detects_followers_that_rely_on_others(self, follower):
        with pytest.raises(AssertionError):
            check_each_as_only_store_path({'follower_type': follower})

    @pytest.mark.parametrize(
        'types',
        [
            {'tree_type': VersionIgnoringTree},
            {'operator_type': OverwritingOperator},
            {'operator_type': ReapplyingOperator},
            {'follower_type': UncheckedReadyFollower},
            {'follower_type': UncheckedPeerTrustingFollower},
        ],
        ids=lambda types: next(iter(types.values())).__name__,
    )
    def test_detects_broken_variant(self, types):
        broken = type('BrokenMachine', (ConfigMachine,), {'types': types})
        Budget(150, 25).expect_caught(broken)
