"""Placement of long and short prompts and plain calls on a simulated clock."""

import random
from collections import Counter

import pytest

from oriolegauge.routing.candidate import Candidate
from oriolegauge.routing.peerload import PeerLoad
from oriolegauge.routing.serverchooser import (
    LONG_PROMPT_SHARE,
    PREFILL_TOKENS_PER_S,
    ServerChooser,
)
from oriolegauge.routing.serverspeeds import INITIAL_START_S, INITIAL_TOKEN_S
from oriolegauge.routing.work import PromptPart, Work

SERVERS = [
    Candidate(name=f's{number}', zone=f'z{number % 3}', slots=64)
    for number in range(6)
]
CHAT = Work(prompt_tokens=800, output_tokens=260)


def review(session, own=2_900):
    parts = (PromptPart('manual', 2_500), PromptPart(session, 3_800))
    return Work(prompt_tokens=6_300 + own, output_tokens=50, shared_parts=parts)


def chooser(seed=1, zone='z0'):
    return ServerChooser(zone=zone, rng=random.Random(seed))


class Engines:
    """Simulate engines that read prompts one after the other."""

    def __init__(self):
        self.free_at = dict.fromkeys([one.name for one in SERVERS], 0.0)
        self.kept = {one.name: set() for one in SERVERS}

    def read(self, name, work, now):
        """Return the time of the first token and the tokens read."""
        unread = work.prompt_tokens
        for part in work.shared_parts:
            if part.name in self.kept[name]:
                unread -= part.tokens
            self.kept[name].add(part.name)
        begin = max(now, self.free_at[name])
        self.free_at[name] = begin + unread / PREFILL_TOKENS_PER_S
        return self.free_at[name], unread


def play(choosers, seconds=30, rate=10, seed=3):
    """Place reviews of 150 sessions beside chats.

    Return the delays of first tokens, by kind, and the tokens read.
    """
    rng = random.Random(seed)
    engines = Engines()
    delays = {'review': [], 'chat': []}
    read = 0
    open_work = []
    for step in range(int(seconds * rate)):
        now = step / rate
        for ends in [one for one in open_work if one[0] <= now]:
            open_work.remove(ends)
            _, daemon, name, unread = ends
            daemon.answered(name, unread, seconds=0.1, now=now)
            daemon.ended(name, unread, was_answered=True, ok=True, now=now)
        for kind, work in (
            ('review', review(f'm{rng.randrange(150)}')),
            ('chat', CHAT),
        ):
            daemon = rng.choice(choosers)
            name = daemon.choose(SERVERS, work, now)
            unread = daemon.started(name, work)
            first_at, tokens = engines.read(name, work, now)
            read += tokens
            delays[kind].append(first_at - now)
            open_work.append((first_at, daemon, name, unread))
    return delays, read


class TestServerChooser:
    def test_chats_do_not_wait_behind_long_prompts(self):
        """Guards against chats that wait while long prompts are read."""
        delays, _ = play([chooser(seed) for seed in range(8)])
        chats = sorted(delays['chat'])
        assert chats[int(len(chats) * 0.99)] < 0.25
        reviews = sorted(delays['review'])
        assert reviews[int(len(reviews) * 0.95)] < 0.8

    def test_daemons_choose_the_same_server_for_a_shared_part(self):
        """Guards against reading a shared part on every server."""
        delays, read = play([chooser(seed) for seed in range(8)])
        count = len(delays['review'])
        least = count * 2_900 + 150 * 3_800 + len(delays['chat']) * 800
        assert read < 1.25 * least

    def test_leaves_the_home_server_if_its_backlog_costs_more(self):
        """Guards against a busy session that waits for one server."""
        daemon = chooser()
        names = Counter()
        for _ in range(40):
            work = review('hot', own=9_000)
            name = daemon.choose(SERVERS, work, 0)
            daemon.started(name, work)
            names[name] += 1
        assert len(names) >= int(len(SERVERS) * LONG_PROMPT_SHARE)
        assert max(names.values()) < 20

    def test_failing_server_is_avoided_and_retried_later(self):
        """Guards against using servers that fail, or dropping them for good."""
        daemon = chooser()
        for _ in range(4):
            daemon.started('s0', Work())
            daemon.ended('s0', 0, was_answered=False, ok=False, now=0)
        few = [SERVERS[0], SERVERS[3]]
        soon = Counter(daemon.choose(few, Work(), 0.1) for _ in range(50))
        assert soon['s0'] == 0
        late = Counter(daemon.choose(few, Work(), 60) for _ in range(50))
        assert late['s0'] > 0

    def test_unreachable_server_is_left_out_unless_alone(self):
        """Guards against refusing while the only server may be reachable."""
        daemon = chooser()
        daemon.connected('s0', ok=False, now=0)
        assert daemon.choose(SERVERS[:2], Work(), 0.1) == 's1'
        assert daemon.choose(SERVERS[:1], Work(), 0.1) == 's0'

    def test_plain_calls_spread_over_slots(self):
        """Guards against a queue at one server while others have slots."""
        daemon = chooser()
        plain = [
            Candidate(name=f'p{number}', zone=f'z{number}', slots=6)
            for number in range(3)
        ]
        names = Counter()
        for _ in range(15):
            name = daemon.choose(plain, Work(), 0)
            daemon.started(name, Work())
            names[name] += 1
        assert max(names.values()) <= 6

    def test_restarted_server_holds_no_parts(self):
        """Guards against expecting parts that a restarted server has lost."""
        daemon = chooser()
        work = review('a')
        daemon.started('s1', work)
        assert daemon.started('s1', work) == 2_900
        daemon.restarted('s1')
        assert daemon.started('s1', work) == 9_200

    def test_long_prompts_stay_in_their_zone_unless_it_is_full(self):
        """Guards against traffic between zones that saves no wait.

        At even load each zone of a large fleet has enough engines, so most of
        the 9 KB bodies stay in their zone. One zone with four times the load of
        the others sends its excess there, and no engine has a long backlog.
        """
        servers = [
            Candidate(name=f'e{number:02}', zone=f'z{number % 3}', slots=16)
            for number in range(45)
        ]
        zones = {server.name: server.zone for server in servers}
        work = Work(prompt_tokens=9_000, output_tokens=50, body_bytes=9_200)
        rng = random.Random(2)
        daemon = chooser(zone='z0')
        stayed = 0
        for _ in range(200):
            # Each engine still has to read up to a third of a prompt.
            daemon.note_peers(
                {
                    server.name: PeerLoad(1, rng.randrange(3_000))
                    for server in servers
                }
            )
            name = daemon.choose(servers, work, 0, is_index_current=True)
            stayed += zones[name] == 'z0'
        assert stayed >= 180
        uneven = [
            chooser(seed=number, zone=f'z{number}') for number in range(3)
        ]
        stayed = self.place_rounds(uneven, servers, zones, work, [40, 10, 10])
        assert 0.3 <= stayed < 1
        tokens = Counter()
        for daemon in uneven:
            for name, load in daemon.own_loads().items():
                tokens[name] += load.prompt_tokens
        assert max(tokens.values()) <= 3 * work.prompt_tokens

    def place_rounds(self, daemons, servers, zones, work, counts):
        """Place prompts in turn; all daemons know all loads.

        Return the share that stayed in the zone of its daemon.
        """
        stayed = 0
        for turn in range(max(counts)):
            for own, daemon in enumerate(daemons):
                if turn >= counts[own]:
                    continue
                daemon.note_peers(self.loads_of_others(daemons, daemon))
                name = daemon.choose(servers, work, 0, is_index_current=True)
                daemon.started(name, work)
                stayed += zones[name] == f'z{own}'
        return stayed / sum(counts)

    def loads_of_others(self, daemons, own):
        sums = {}
        for daemon in daemons:
            if daemon is own:
                continue
            for name, load in daemon.own_loads().items():
                held = sums.get(name, PeerLoad())
                sums[name] = PeerLoad(
                    held.requests + load.requests,
                    held.prompt_tokens + load.prompt_tokens,
                )
        return sums


class TestRoom:
    def test_counts_the_requests_of_all_daemons(self):
        """Guards against an admission that sees only its own daemon's load."""
        daemon = chooser()
        daemon.note_peers({'s0': PeerLoad(96, 8_560)})
        daemon.started('s1', CHAT)
        room = daemon.room(SERVERS, CHAT, 0)
        assert room.busy_share == 97 / (6 * 64)
        token_s = INITIAL_TOKEN_S
        assert room.reading_s == pytest.approx((8_560 + 800) * token_s / 6)
        assert room.wait_s == pytest.approx(INITIAL_START_S + 800 * token_s)

    def test_wait_grows_with_the_requests_that_wait_for_slots(self):
        """Guards against full servers that promise a prompt answer."""
        daemon = ServerChooser(
            zone='z0', rng=random.Random(1), adapts_to_load=True
        )
        waits = []
        for running in (10, 63, 64, 128):
            daemon.note_peers(
                {server.name: PeerLoad(running, 0) for server in SERVERS}
            )
            waits.append(daemon.room(SERVERS, CHAT, 0).wait_s)
        assert waits[0] == waits[1] < waits[2] < waits[3]
        assert waits[3] - waits[0] == pytest.approx(65 / 64)

    def test_there_is_no_room_without_servers(self):
        """Guards against a request that waits for servers of no service."""
        room = chooser().room([], CHAT, 0)
        assert room.wait_s == float('inf')
        assert room.busy_share == 0
