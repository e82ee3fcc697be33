"""Placement by learned speeds, played on simulated engines."""

import dataclasses
import random
from collections import Counter

import pytest

from oriolegauge.routing.candidate import Candidate
from oriolegauge.routing.peerload import PeerLoad
from oriolegauge.routing.serverchooser import ServerChooser
from oriolegauge.routing.work import PromptPart, Work

from .enginefleet import A_QUIET, B_QUIET, C_QUIET, SIX_FASTER, Fleet

LONG = Work(
    prompt_tokens=9_200,
    output_tokens=50,
    shared_parts=(PromptPart('manual', 2_500), PromptPart('s1', 3_800)),
    objective_s=0.6,
    longest_pause_s=0.4,
)
CHAT = Work(
    prompt_tokens=800,
    output_tokens=300,
    objective_s=0.4,
    longest_pause_s=0.4,
)
SERVERS = [
    Candidate(name=f'e{number}', zone='z', slots=12, service='m')
    for number in range(6)
]


def chooser(seed=1):
    return ServerChooser(zone='z', rng=random.Random(seed), adapts_to_load=True)


def chosen(daemon, work, now=0, servers=SERVERS):
    """Count which servers the daemon chooses for the same work."""
    return Counter(
        daemon.choose(servers, work, now, is_index_current=True)
        for _ in range(60)
    )


def placed(fleet, name):
    """Return the requests of a server as a multiple of the mean."""
    counts = Counter()
    for (_, server), count in fleet.placed.items():
        counts[server] += count
    return counts[name] * len(fleet.engines) / counts.total()


class TestQuietLoad:
    @pytest.mark.parametrize('load', [A_QUIET, B_QUIET, C_QUIET], ids='ABC')
    def test_chats_are_on_time_and_engines_evenly_used(self, load):
        """Guards against a fixed division that crowds chats on few engines."""
        # In 6 s an engine of C runs some 8 chats, and chance alone makes one
        # engine 1.15 to 1.35 times as busy as the mean.
        figures = Fleet(load, adapts_to_load=True).play(12).figures()
        assert figures['chats_paused'] < 0.01
        assert figures['chats_late'] < 0.01
        assert figures['longs_late'] < 0.01
        assert figures['preempted'] == 0
        assert figures['busiest_slots'] < 1.3

    def test_fixed_division_crowds_chats(self):
        """Guards against a simulation that shows no fault of placement."""
        figures = Fleet(B_QUIET).play(6).figures()
        assert figures['chats_paused'] > 0.03
        assert figures['preempted'] > 100
        assert figures['busiest_slots'] > 2


class TestChangedLoads:
    def play_peak(self, load, kind, **settings):
        fleet = Fleet(load, **settings)
        peak = {kind: 2.4 * getattr(load, kind)}

        def change():
            fleet.load = dataclasses.replace(load, **peak)

        return fleet.play(6, [(2.5, change)]).figures()

    @pytest.mark.parametrize('kind', ['long_per_s', 'chats_per_s'])
    def test_peak_of_one_kind_leaves_the_other_on_time(self, kind):
        """Guards against a division for a mix of requests that has changed."""
        figures = self.play_peak(B_QUIET, kind, adapts_to_load=True)
        assert figures['chats_paused'] < 0.02
        assert figures['chats_late'] < 0.02
        assert figures['longs_late'] < 0.02
        assert figures['preempted'] == 0

    def test_peak_does_not_multiply_the_reading(self):
        """Guards against prompts that leave engines with their shared parts.

        More reading makes more of them leave: at the peak of C 0.8 of the
        shared tokens were read again.
        """
        fixed = self.play_peak(C_QUIET, 'long_per_s')
        learned = self.play_peak(C_QUIET, 'long_per_s', adapts_to_load=True)
        assert learned['read_again'] < 1.1 * fixed['read_again']
        assert learned['longs_late'] < 1.2 * fixed['longs_late']
        assert learned['preempted'] < 0.5 * fixed['preempted']

    def test_hot_part_has_further_homes_but_few(self):
        """Guards against one engine for a third of all requests.

        And against reading the hot part on every engine.
        """
        load = dataclasses.replace(B_QUIET, hot_share=1 / 3)
        fleet = Fleet(load, adapts_to_load=True).play(6)
        figures = fleet.figures()
        assert figures['longs_late'] < 0.01
        assert figures['busiest_slots'] < 1.3
        holders = [
            engine for engine in fleet.engines.values() if 's0' in engine.cache
        ]
        assert 2 <= len(holders) <= 45

    def test_crowded_zone_spills_over(self):
        """Guards against a zone with waiting requests beside an idle one."""
        fleet = Fleet(C_QUIET, adapts_to_load=True)
        crowded = [
            daemon for daemon in fleet.daemons if fleet.zone_of[daemon] == 'z0'
        ]
        # Three quarters of the requests arrive in one of three zones.
        fleet.daemons = fleet.daemons + 5 * crowded
        figures = fleet.play(6).figures()
        assert figures['chats_paused'] < 0.02
        assert figures['chats_late'] < 0.02
        assert figures['longs_late'] < 0.02
        assert figures['preempted'] == 0


class TestSlowServer:
    def test_gets_about_half_of_the_work_at_half_the_speed(self):
        """Guards against equal shares for a slow engine, and against none."""
        slow = {f'e{number:03}': 2.0 for number in (5, 20, 33)}
        load = dataclasses.replace(B_QUIET, slow=slow)
        fleet = Fleet(load, adapts_to_load=True).play(8)
        mean = sum(placed(fleet, name) for name in slow) / len(slow)
        assert 0.3 < mean < 0.7
        assert fleet.figures()['chats_paused'] < 0.01

    def test_change_is_followed_within_two_seconds(self):
        """Guards against a server that is avoided after it has recovered."""
        daemon = chooser()
        both = SERVERS[:2]
        # The other one has 160 ms to read.
        daemon.note_peers({'e1': PeerLoad(1, 8_000)})
        assert chosen(daemon, LONG, servers=both)['e0'] == 60
        self.answer(daemon, 'e0', seconds=1.0, now=0)
        assert chosen(daemon, LONG, servers=both)['e0'] == 0
        self.answer(daemon, 'e0', seconds=0.05, now=1.5)
        assert chosen(daemon, LONG, 2.0, both)['e0'] == 60

    def test_slowness_measured_by_others_counts(self):
        """Guards against each daemon finding out by its own late requests."""
        daemon = chooser()
        daemon.note_peers({'e0': PeerLoad(0, 0, 0, 8.0, 2.0)})
        assert chosen(daemon, LONG)['e0'] == 0

    def answer(self, daemon, name, *, seconds, now):
        daemon.choose(SERVERS, LONG, now)
        for _ in range(4):
            unread = daemon.started(name, CHAT)
            daemon.answered(name, unread, seconds=seconds, now=now)
            daemon.ended(
                name, unread, was_answered=True, ok=True, now=now, work=CHAT
            )


class TestJoiningServer:
    def test_share_rises_step_by_step(self):
        """Guards against all new requests for an empty engine that joins."""
        fleet = Fleet(SIX_FASTER, adapts_to_load=True)
        fleet.play(8, [(7.0, lambda: fleet.add_engine(6))])
        early = fleet.placed['long', 'e006'] + fleet.placed['chat', 'e006']
        # One second at an equal share would be 5 of 35 requests.
        assert early < 5
        fleet = Fleet(SIX_FASTER, adapts_to_load=True)
        fleet.play(22, [(7.0, lambda: fleet.add_engine(6))])
        assert placed(fleet, 'e006') > 0.3

    def test_servers_of_a_restarted_daemon_do_not_join(self):
        """Guards against daemons without servers after their own start."""
        daemon = chooser()
        assert len(chosen(daemon, CHAT)) == 6

    def test_restarted_server_joins(self):
        """Guards against full load for a server that has just started."""
        daemon = chooser()
        chosen(daemon, CHAT)
        daemon.restarted('e0')
        counts = chosen(daemon, CHAT, now=10)
        assert counts['e0'] < counts['e1']


class TestFullServers:
    def test_server_without_free_slots_is_avoided(self):
        """Guards against preemptions while others have slots."""
        daemon = chooser()
        daemon.note_peers({'e0': PeerLoad(12, 0)})
        assert chosen(daemon, CHAT)['e0'] == 0

    def test_server_whose_memory_would_overflow_is_avoided(self):
        """Guards against preemptions for lack of memory."""
        daemon = chooser()
        daemon.note_memory({'m': 300_000})
        daemon.note_peers(
            {one.name: PeerLoad(3, 0, 100_000) for one in SERVERS[1:]}
            | {'e0': PeerLoad(2, 0, 295_000)}
        )
        assert chosen(daemon, LONG)['e0'] == 0
        assert chosen(daemon, CHAT)['e0'] > 0

    def test_held_tokens_return_to_zero(self):
        """Guards against servers that look full for ever."""
        daemon = chooser()
        for work in (LONG, CHAT, LONG):
            daemon.started('e0', work)
        for work in (CHAT, LONG, LONG):
            daemon.ended('e0', 0, was_answered=True, ok=True, now=0, work=work)
        daemon.started('e0', CHAT)
        assert daemon.own_loads(0)['e0'].held_tokens == CHAT.tokens

    def test_long_prompt_avoids_a_backlog_that_would_pause_streams(self):
        """Guards against streams that pause for several long prompts."""
        daemon = chooser()
        daemon.started('e0', LONG)
        backlog = {'e0': PeerLoad(6, 20_000)}
        idle = {one.name: PeerLoad(6, 0) for one in SERVERS[1:]}
        daemon.note_peers(backlog | idle)
        assert chosen(daemon, LONG)['e0'] == 0
        assert chosen(daemon, CHAT)['e0'] == 0


class TestPlainCalls:
    SERVERS = [
        Candidate(name=f'p{number}', zone=f'z{number}', slots=6, service='p')
        for number in range(3)
    ]

    def test_calls_stay_in_their_zone_and_spread_over_slots(self):
        """Guards against bytes between zones, and a queue beside free slots."""
        daemon = ServerChooser(
            zone='z0', rng=random.Random(1), adapts_to_load=True
        )
        work = Work(objective_s=0.16)
        assert chosen(daemon, work, servers=self.SERVERS)['p0'] == 60
        names = Counter()
        for _ in range(15):
            name = daemon.choose(self.SERVERS, work, 0)
            daemon.started(name, work)
            names[name] += 1
        assert max(names.values()) <= 6

    @pytest.mark.parametrize('call_s', [0.0225, 0.09])
    def test_slow_server_gets_fewer_calls(self, call_s):
        """Guards against a time of calls that is a constant of one fleet."""
        daemon = chooser()
        work = Work(objective_s=0.4)
        servers = [
            dataclasses.replace(server, zone='z') for server in self.SERVERS
        ]
        taken = []
        for number in range(300):
            name = daemon.choose(servers, work, number / 10)
            daemon.started(name, work)
            seconds = call_s * (3 if name == 'p1' else 1)
            taken.append((name, seconds))
            now = number / 10 + seconds
            daemon.answered(name, 0, seconds=seconds, now=now)
            daemon.ended(
                name, 0, was_answered=True, ok=True, now=now, work=work
            )
        mean = sum(seconds for _, seconds in taken[-100:]) / 100
        assert daemon.expected_s(servers[0], work, 60) == pytest.approx(
            mean, rel=0.2
        )
        counts = Counter(name for name, _ in taken)
        assert counts['p1'] < 0.8 * counts['p0']
