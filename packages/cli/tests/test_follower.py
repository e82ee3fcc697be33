"""State of followers after restored backups, bad objects and outages."""

import asyncio

import pytest
import structlog

from oriolegauge.cli.operator import Operator

from .configworld import SimulatedFleet

KEY = 'config/teams/cafes'


@pytest.fixture()
def world():
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    made = SimulatedFleet()
    made.advance(2)
    yield made
    made.close()
    structlog.reset_defaults()


def set_priority(world, priority):
    world.operate((KEY, lambda tree: {**tree, 'priority': priority}))
    world.advance(2)


def priorities(world):
    return {node.tree.team('cafes').priority for node in world.nodes.values()}


def watcher_state(world):
    return next(
        state
        for node in world.nodes.values()
        if (state := node.follower.state()).watching
    )


class TestFollowerState:
    """Guard against faults that the state shown to operators hides."""

    def test_state_names_objects_of_a_restored_backup(self, world):
        set_priority(world, 'batch')
        world.store.save()
        for priority in ('normal', 'batch', 'urgent'):
            set_priority(world, priority)
        world.store.restore()
        world.advance(3)
        state = watcher_state(world)
        assert KEY in state.store_behind
        assert state.refused_lower > 0
        assert state.config_current
        assert priorities(world) == {'urgent'}
        operator = Operator(world.store, author='ana')
        while KEY in watcher_state(world).store_behind:
            world.loop.run_until_complete(operator.republish(KEY))
            world.advance(3)
        assert priorities(world) == {'batch'}

    def test_state_names_rejected_invalid_object(self, world):
        set_priority(world, 'batch')
        found = world.store.objects[KEY]
        bad = {**found.value, 'priority': 'high'}
        world.loop.run_until_complete(world.store.put(KEY, bad, found.version))
        world.advance(2)
        state = watcher_state(world)
        assert state.rejected == {KEY: world.store.objects[KEY].version}
        assert state.versions[KEY] == found.version
        assert state.refused_invalid == 1
        assert priorities(world) == {'batch'}
        set_priority(world, 'urgent')
        assert priorities(world) == {'urgent'}
        assert watcher_state(world).rejected == {}

    def test_not_current_10_s_after_store_path_is_cut(self, world):
        for node in world.nodes.values():
            node.path.cut = True
        world.advance(8)
        follower = world.nodes['d1'].follower
        assert follower.current(world.now)
        world.advance(4)
        assert not follower.current(world.now)
        assert follower.state().store_failures > 0
        assert follower.ready
        world.nodes['d4'].path.cut = False
        world.advance(6)
        assert follower.current(world.now)

    def test_slow_heartbeats_do_not_prolong_current(self, world):
        world.delay_s = 0.2
        for node in world.nodes.values():
            node.path.cut = True
        world.advance(12)
        now = world.now
        for node in world.nodes.values():
            assert not node.follower.current(now)

    def test_fleet_restarted_in_outage_is_not_ready(self, world):
        set_priority(world, 'batch')
        for node in world.nodes.values():
            node.path.cut = True
        for name in world.nodes:
            world.restart(name)
        world.advance(30)
        ready = [node.follower.ready for node in world.nodes.values()]
        assert ready == [False] * len(ready)
        waiting = world.nodes['d1'].follower.wait_ready()
        world.nodes['d3'].path.cut = False
        world.loop.run_until_complete(asyncio.wait_for(waiting, 10))
