"""Simulated engines, and daemons that place prompts on them."""

import heapq
import itertools
import random
from bisect import insort
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from oriolegauge.routing.candidate import Candidate
from oriolegauge.routing.loadaggregator import LoadAggregator
from oriolegauge.routing.peerload import PeerLoad
from oriolegauge.routing.serverchooser import ServerChooser
from oriolegauge.routing.work import PromptPart, Work

TOKENS_PER_EVENT = 7
# Tokens that an engine reads in one step at most.
CHUNK_TOKENS = 4_096
# Delay of a step by each further running stream.
STREAM_STEP_S = 0.00006
LINK_S = 0.002
REPORT_GAP_S = 0.03
SUMS_PERIOD_S = 0.25
# Requests of the first seconds find empty caches and are not judged.
WARM_UP_S = 2.0
PARTS = (2_500, 3_800)


@dataclass(frozen=True, kw_only=True)
class Load:
    """Figures of a deployment; `slow` gives factors of single engines."""

    engines: int
    zones: int
    daemons: int
    slots: int
    memory_tokens: int
    step_s: float
    tokens_per_s: float
    long_per_s: float
    chats_per_s: float
    pause_s: float
    long_objective_s: float
    chat_objective_s: float
    long_priority: int = 1
    long_events: int = 7
    chat_events: int = 42
    sessions: int = 400
    hot_share: float = 0
    slow: dict = field(default_factory=dict)


@dataclass(kw_only=True)
class Request:
    kind: str
    work: Work
    priority: int
    events: int
    arrived_at: float
    number: int
    daemon: object = None
    server: str = ''
    unread: int = 0
    waiting: int = 0
    sent_at: float = 0
    to_read: int = 0
    tokens: int = 0
    first_s: float | None = None
    event_at: float = 0
    pause_s: float = 0
    preempted: int = 0

    def __lt__(self, other):
        return (self.priority, self.number) < (other.priority, other.number)


class Engine:
    """Batch streams in steps; read prompts in chunks between the tokens."""

    def __init__(self, load, name):
        self.load, self.name = load, name
        self.waiting, self.running = [], []
        self.cache = OrderedDict()
        self.is_stepping = False
        self.read_s = self.slot_s = 0.0
        self.served = self.preemptions = self.shared_read = 0

    def step(self, now):
        """Run one iteration; return its time, the first events and ends."""
        self._admit()
        budget = CHUNK_TOKENS
        slow = self.load.slow.get(self.name, 1)
        decoding = [one for one in self.running if not one.to_read]
        for one in self.running:
            taken = min(budget, one.to_read)
            one.to_read -= taken
            budget -= taken
            if not budget:
                break
        reading_s = (CHUNK_TOKENS - budget) / self.load.tokens_per_s * slow
        step_s = (self.load.step_s + STREAM_STEP_S * len(decoding)) * slow
        taken_s = reading_s + step_s
        self.read_s += reading_s
        self.slot_s += taken_s * len(self.running)
        done_at = now + taken_s
        begun, ended = [], []
        for one in decoding:
            one.tokens += 1
            if one.tokens % TOKENS_PER_EVENT:
                continue
            if one.first_s is None:
                one.first_s = done_at - one.arrived_at
                begun.append(one)
            else:
                one.pause_s = max(one.pause_s, done_at - one.event_at)
            one.event_at = done_at
            if one.tokens >= one.events * TOKENS_PER_EVENT:
                ended.append(one)
                self.running.remove(one)
                self.served += 1
        return taken_s, begun, ended

    def held_tokens(self):
        return sum(one.work.prompt_tokens + one.tokens for one in self.running)

    def _admit(self):
        while self.waiting:
            first = self.waiting[0]
            size = first.work.prompt_tokens + first.events * TOKENS_PER_EVENT
            is_full = (
                len(self.running) >= self.load.slots
                or self.held_tokens() + size > self.load.memory_tokens
            )
            if is_full:
                if not self.running or self.running[-1].priority <= (
                    first.priority
                ):
                    return
                last = self.running.pop()
                last.preempted += 1
                self.preemptions += 1
                insort(self.waiting, last)
                continue
            self.waiting.pop(0)
            first.to_read = first.work.prompt_tokens + first.tokens
            first.to_read -= self._cached(first.work)
            insort(self.running, first)

    def _cached(self, work):
        cached = 0
        is_prefix = True
        for part in work.shared_parts:
            is_prefix = is_prefix and part.name in self.cache
            if is_prefix:
                cached += part.tokens
            else:
                self.shared_read += part.tokens if work.is_long else 0
            self.cache[part.name] = part.tokens
            self.cache.move_to_end(part.name)
        room = self.load.memory_tokens - self.held_tokens()
        while sum(self.cache.values()) > max(0, room) and self.cache:
            self.cache.popitem(last=False)
        return cached


class Fleet:
    """Play a load; `settings` are passed to all choosers."""

    def __init__(self, load, *, seed=1, **settings):
        self.load = load
        self.rng = random.Random(seed)
        self.settings = settings
        self.engines = {}
        self.candidates = []
        for number in range(load.engines):
            self.add_engine(number)
        self.zone_of = {}
        self.daemons = []
        for number in range(load.daemons):
            zone = f'z{number % load.zones}'
            daemon = ServerChooser(
                zone=zone, rng=random.Random(seed * 1000 + number), **settings
            )
            daemon.note_memory({'': load.memory_tokens})
            self.zone_of[daemon] = zone
            self.daemons.append(daemon)
        zones = [f'z{number}' for number in range(load.zones)]
        self.aggregators = {zone: LoadAggregator() for zone in zones}
        self.sums = {zone: LoadAggregator() for zone in zones}
        self.next_report = dict.fromkeys(self.daemons, 0.0)
        self.has_report = set()
        self.done = []
        self.placed = Counter()
        self.events, self.order = [], itertools.count()
        self.numbers = itertools.count()

    def add_engine(self, number):
        name = f'e{number:03}'
        self.engines[name] = Engine(self.load, name)
        self.candidates.append(
            Candidate(
                name=name,
                zone=f'z{number % self.load.zones}',
                slots=self.load.slots,
            )
        )

    def play(self, until_s, changes=()):
        """Play until the time; `changes` are times and functions to call."""
        self.at(0.0, self._sum_up)
        self.at(0.0, self._arrive, 'long')
        self.at(0.0, self._arrive, 'chat')
        for when, change in changes:
            self.at(when, lambda now, call=change: call())
        while self.events and self.events[0][0] < until_s:
            now, _, call, args = heapq.heappop(self.events)
            call(now, *args)
        return self

    def at(self, when, call, *args):
        heapq.heappush(self.events, (when, next(self.order), call, args))

    def _arrive(self, now, kind):
        load, rng = self.load, self.rng
        per_s = load.long_per_s if kind == 'long' else load.chats_per_s
        self.at(now + rng.expovariate(per_s), self._arrive, kind)
        request = Request(
            kind=kind,
            work=self._work(kind),
            # A third of the workspaces have a priority of their own.
            priority=(load.long_priority if kind == 'long' else 0)
            + (rng.random() < 1 / 3),
            events=load.long_events if kind == 'long' else load.chat_events,
            arrived_at=now,
            number=next(self.numbers),
            daemon=rng.choice(self.daemons),
        )
        self._report(now, request.daemon)
        self.at(now + LINK_S, self._place, request)

    def _work(self, kind):
        load, rng = self.load, self.rng
        if rng.random() < load.hot_share:
            session = team = 0
        else:
            session = int(load.sessions * rng.random() ** 2)
            team = session % 24
        if kind == 'chat':
            return Work(
                prompt_tokens=826,
                output_tokens=load.chat_events * TOKENS_PER_EVENT,
                body_bytes=900,
                shared_parts=(PromptPart(f't{team}', 198),),
                objective_s=load.chat_objective_s,
                longest_pause_s=load.pause_s,
            )
        names = (f'm{team}', f's{session}')
        return Work(
            prompt_tokens=max(6_500, int(rng.gauss(9_190, 900))),
            output_tokens=load.long_events * TOKENS_PER_EVENT,
            body_bytes=9_200,
            shared_parts=tuple(map(PromptPart, names, PARTS)),
            objective_s=load.long_objective_s,
            longest_pause_s=load.pause_s,
        )

    def _place(self, now, request):
        daemon, work = request.daemon, request.work
        zone = self.zone_of[daemon]
        loads = dict(self.aggregators[zone].other_loads(daemon, now))
        for name, load in self.sums[zone].other_loads('', now).items():
            loads[name] = loads.get(name, PeerLoad()).plus(load)
        daemon.note_peers(loads)
        parts = [part.name for part in work.shared_parts]
        daemon.parts.note_all(self.aggregators[zone].parts.holders_of(parts))
        name = daemon.choose(self.candidates, work, now, is_index_current=True)
        request.server, request.sent_at = name, now
        request.waiting = daemon.waiting_tokens(name)
        request.unread = daemon.started(name, work)
        self._changed(now, daemon)
        self.at(now + LINK_S, self._receive, request)

    def _receive(self, now, request):
        engine = self.engines[request.server]
        self.placed[request.kind, request.server] += 1
        insort(engine.waiting, request)
        if not engine.is_stepping:
            engine.is_stepping = True
            self._step(now, engine)

    def _step(self, now, engine):
        if not (engine.waiting or engine.running):
            engine.is_stepping = False
            return
        taken_s, begun, ended = engine.step(now)
        for one in begun:
            self.at(now + taken_s + LINK_S, self._answered, one)
        for one in ended:
            self.at(now + taken_s + LINK_S, self._ended, one)
        self.at(now + taken_s, self._step, engine)

    def _answered(self, now, one):
        one.daemon.answered(
            one.server,
            one.unread,
            seconds=now - one.sent_at,
            now=now,
            waiting_tokens=one.waiting,
        )
        self._changed(now, one.daemon)

    def _ended(self, now, one):
        one.daemon.ended(
            one.server,
            one.unread,
            was_answered=True,
            ok=True,
            now=now,
            work=one.work,
            seconds=now - one.sent_at,
        )
        self.done.append(one)
        self._changed(now, one.daemon)

    def _changed(self, now, daemon):
        if daemon in self.has_report:
            return
        self.has_report.add(daemon)
        when = max(now, self.next_report[daemon])
        self.next_report[daemon] = when + REPORT_GAP_S
        self.at(when + LINK_S, self._report, daemon)

    def _report(self, now, daemon):
        self.has_report.discard(daemon)
        aggregator = self.aggregators[self.zone_of[daemon]]
        aggregator.note(daemon, daemon.own_loads(now), now)
        aggregator.parts.note_all(daemon.take_unreported_parts())

    def _sum_up(self, now):
        self.at(now + SUMS_PERIOD_S, self._sum_up)
        for zone, aggregator in self.aggregators.items():
            loads = aggregator.other_loads('', now)
            for other, sums in self.sums.items():
                if other != zone:
                    sums.note(zone, loads, now)

    def figures(self):
        """Return shares of late requests and how even the engines worked."""
        load = self.load
        counted = [one for one in self.done if one.arrived_at > WARM_UP_S]
        chats = [one for one in counted if one.kind == 'chat']
        longs = [one for one in counted if one.kind == 'long']
        engines = self.engines.values()
        shared = sum(
            part.tokens
            for one in self.done
            if one.kind == 'long'
            for part in one.work.shared_parts
        )
        late_pause = sum(one.pause_s > load.pause_s for one in chats)
        late_first = sum(one.first_s > load.chat_objective_s for one in chats)
        return {
            'chats_paused': late_pause / len(chats),
            'chats_late': late_first / len(chats),
            'longs_late': sum(
                one.first_s > load.long_objective_s
                or one.pause_s > load.pause_s
                for one in longs
            )
            / len(longs),
            'preempted': sum(one.preemptions for one in engines),
            'busiest_slots': _peak([one.slot_s for one in engines]),
            'busiest_reading': _peak([one.read_s for one in engines]),
            'read_again': sum(one.shared_read for one in engines) / shared,
            'done': len(self.done),
        }


def _peak(values):
    return max(values) / (sum(values) / len(values))


B_QUIET = Load(
    engines=90,
    zones=4,
    daemons=64,
    slots=24,
    memory_tokens=376_658,
    step_s=0.00437,
    tokens_per_s=93_600,
    long_per_s=244,
    chats_per_s=276,
    pause_s=0.3,
    long_objective_s=1.235,
    chat_objective_s=0.415,
    long_priority=2,
)
C_QUIET = Load(
    engines=70,
    zones=3,
    daemons=72,
    slots=12,
    memory_tokens=303_722,
    step_s=0.00509,
    tokens_per_s=51_100,
    long_per_s=143,
    chats_per_s=92.1,
    pause_s=0.4,
    long_objective_s=0.635,
    chat_objective_s=0.415,
    long_priority=0,
    long_events=9,
    chat_events=49,
)
A_QUIET = Load(
    engines=45,
    zones=3,
    daemons=68,
    slots=48,
    memory_tokens=328_157,
    step_s=0.00439,
    tokens_per_s=69_800,
    long_per_s=66.5,
    chats_per_s=115,
    pause_s=0.4,
    long_objective_s=0.635,
    chat_objective_s=0.515,
)
# Two earlier deployments.
SIX_SLOWER = Load(
    engines=6,
    zones=3,
    daemons=6,
    slots=64,
    memory_tokens=300_000,
    step_s=0.00635,
    tokens_per_s=42_800,
    long_per_s=10.4,
    chats_per_s=14.2,
    pause_s=0.25,
    long_objective_s=0.6,
    chat_objective_s=0.4,
    sessions=150,
)
SIX_FASTER = Load(
    engines=6,
    zones=3,
    daemons=8,
    slots=128,
    memory_tokens=300_000,
    step_s=0.00439,
    tokens_per_s=69_800,
    long_per_s=14.1,
    chats_per_s=21.3,
    pause_s=0.3,
    long_objective_s=0.6,
    chat_objective_s=0.4,
    sessions=150,
)
LOADS = {
    'B': B_QUIET,
    'C': C_QUIET,
    'A': A_QUIET,
    'six slower': SIX_SLOWER,
    'six faster': SIX_FASTER,
}
