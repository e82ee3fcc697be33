"""Daemons that watch the store for a fleet from which hosts are lost."""

import asyncio
import random

import pytest

from oriolegauge.gateway.fleetlayout import (
    MAX_LEADERS,
    heartbeat_period_s,
    watch_sign_age_s,
)
from oriolegauge.gateway.peerstates import LINK_OPENING_S
from oriolegauge.gateway.watchsigns import WatchSigns
from oriolegauge.mesh import ReceivedHeartbeat
from oriolegauge.wire import Sender
from oriolegauge.wire.messages import WatchSign

from .test_fleetlinks import links_of

STEP_S = 0.1


class Fleet:
    """Daemons that exchange heartbeats, and the entries of lost hosts."""

    def __init__(self, size, lost_before=0):
        self.clock = asyncio.get_running_loop().time
        listed = [f'd{number:03}' for number in range(size + lost_before)]
        random.Random(size).shuffle(listed)
        self.alive = set(listed[:size])
        self.links = {name: self._start(name, listed) for name in self.alive}
        self._next_beat = {
            name: self.clock() + random.Random(name).uniform(0, 0.2)
            for name in self.alive
        }

    @property
    def watchers(self):
        return {name for name in self.alive if self.links[name].is_watcher()}

    def lose(self, names):
        self.alive -= set(names)
        for name in self.alive:
            self._break_links(self.links[name])

    async def run(self, seconds):
        until = self.clock() + seconds
        while self.clock() < until - STEP_S / 2:
            for name in sorted(self.alive):
                if self.clock() >= self._next_beat[name]:
                    await self._beat(name)
            await asyncio.sleep(STEP_S)

    def _start(self, name, listed):
        links, _ = links_of(name, listed, self.clock)
        links.attach_watch(links.is_watcher)
        self._break_links(links)
        return links

    def _break_links(self, links):
        for peer, link in links._mesh.names.items():
            link.connected = peer in self.alive

    async def _beat(self, name):
        links = self.links[name]
        message = links.heartbeat()
        received = ReceivedHeartbeat(message, self.clock())
        for peer in set(links._mesh.names) & self.alive:
            self.links[peer]._mesh.heartbeats[name] = received
            await self.links[peer].answer(Sender(name, '1'), message)
        self._next_beat[name] += heartbeat_period_s(links.members)


def noticed_s(fleet):
    """Return the time in which the loss of a watcher must be noticed."""
    members = next(iter(fleet.links.values())).members
    return watch_sign_age_s(members) + heartbeat_period_s(members)


@pytest.mark.looptime
class TestWatchersOfAFleet:
    @pytest.mark.parametrize('lost_before', [24, 128])
    async def test_entries_of_lost_hosts_watch_nothing(self, lost_before):
        """Guards against a withdrawn key that is served since nobody watches.

        Each daemon took the entries that it is not linked to for watchers.
        """
        fleet = Fleet(64, lost_before)
        await fleet.run(LINK_OPENING_S + STEP_S)
        assert fleet.watchers
        await fleet.run(2 * noticed_s(fleet))
        assert MAX_LEADERS <= len(fleet.watchers) <= 2 * MAX_LEADERS

    async def test_few_daemons_of_a_large_fleet_watch(self):
        """Guards against store calls that grow with the number of daemons."""
        fleet = Fleet(64)
        await fleet.run(noticed_s(fleet))
        for _ in range(20):
            await fleet.run(0.5)
            assert len(fleet.watchers) == MAX_LEADERS

    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('size', [8, 64])
    async def test_some_daemon_watches_whichever_are_lost(self, size, seed):
        """Guards against a fleet that no longer hears of a configuration."""
        rng = random.Random(seed)
        fleet = Fleet(size)
        await fleet.run(noticed_s(fleet))
        while len(fleet.alive) > 2:
            lost = set(rng.sample(sorted(fleet.alive), len(fleet.alive) // 4))
            if rng.random() < 0.5:
                lost |= fleet.watchers
            fleet.lose(sorted(lost)[: len(fleet.alive) - 2])
            await fleet.run(noticed_s(fleet))
            assert fleet.watchers


class TestWatchSigns:
    def test_sign_of_the_future_does_not_outlast_others(self):
        """Guards against a lost watcher that counts for ever."""
        now = 100.0
        signs = WatchSigns(lambda: now)
        signs.learn([WatchSign('d1', -60_000)])
        now += 4
        assert not signs.is_fresh('d1', 3)

    def test_older_sign_does_not_replace_a_newer_one(self):
        """Guards against watchers that seem lost by way of a slow peer."""
        now = 100.0
        signs = WatchSigns(lambda: now)
        signs.learn([WatchSign('d1', 0)])
        signs.learn([WatchSign('d1', 2_500)])
        now += 1
        assert list(signs.fresh(['d2', 'd1'], 3)) == [WatchSign('d1', 1_000)]

    def test_daemons_that_were_removed_are_forgotten(self):
        """Guards against memory that grows with each replaced host."""
        signs = WatchSigns(lambda: 0)
        signs.learn([WatchSign('d1', 0), WatchSign('d2', 0)])
        signs.keep_only(['d2'])
        assert [sign.member for sign in signs.fresh(['d1', 'd2'], 3)] == ['d2']
