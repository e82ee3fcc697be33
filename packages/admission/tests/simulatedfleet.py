"""A fleet of gates in front of servers with slots, in simulated time."""

import heapq
import itertools
import math
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from oriolegauge.admission.gatedrequest import GatedRequest
from oriolegauge.admission.loadgate import LoadGate
from oriolegauge.admission.scarcity import GoOn, Refuse, Supply, Wait

VIEW_S = 0.1
TICK_S = 0.1
SERVICE = 'svc'


@dataclass(frozen=True)
class Kind:
    """Describe requests; `rates` has pairs of a time and a rate from then."""

    name: str
    priority: int
    rates: tuple
    reading_s: float
    slot_s: float
    objective_s: float
    deadline_s: float
    prompt_tokens: int = 1000
    pause_s: float = 0.4

    def per_s(self, now):
        return [rate for at, rate in self.rates if at <= now][-1]


@dataclass
class Totals:
    offered: int = 0
    on_time: int = 0
    late: int = 0
    at_once: int = 0
    held_then_refused: int = 0
    longest_lost_hold: float = 0
    waited: int = 0
    sent: int = 0

    @property
    def refused(self):
        return self.at_once + self.held_then_refused


@dataclass(eq=False)
class Call:
    kind: Kind
    request: GatedRequest
    size: float
    daemon: int
    number: int | None = None
    due_at: float = 0


@dataclass
class SimulatedFleet:
    """Play arrivals through the gates of several daemons."""

    kinds: tuple
    daemons: int = 12
    servers: int = 10
    slots: int = 12
    seed: int = 1
    is_gated: bool = True
    has_loads: bool = True
    phantom_share: float = 0
    loads_until: float = math.inf
    teams: int = 8
    team_weights: tuple = ()
    now: float = 0
    events: list = field(default_factory=list)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.order = itertools.count()
        self.gates = [
            LoadGate(
                rng=random.Random(f'{self.seed}/{number}'),
                members=lambda: self.daemons,
                max_bytes=1_000_000,
            )
            for number in range(self.daemons)
        ]
        self.running = [0] * self.servers
        self.queued = [[] for _ in range(self.servers)]
        self.waiting = [{} for _ in range(self.daemons)]
        self.totals = defaultdict(Totals)
        self.busy = []
        self.admitted_by_daemon = Counter()
        self.steps = []
        self.viewed = 0
        self.least_busy = 1.0
        self.unseen = Counter()

    def run(self, seconds):
        for kind in self.kinds:
            self.at(0, self.arrive, kind)
        for daemon in range(self.daemons):
            self.at(self.rng.random() * TICK_S, self.tick, daemon)
        self.at(0, self.view)
        while self.events and self.events[0][0] < seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def view(self):
        """Copy the loads as the aggregator would tell them."""
        queued = sum(len(queue) for queue in self.queued)
        self.viewed = sum(self.running) + queued
        self.unseen = Counter()
        self.busy.append(self.viewed / (self.servers * self.slots))
        marks = {gate.service(SERVICE)._marks.step for gate in self.gates}
        self.steps.append(marks)
        if self.now >= self.loads_until:
            self.has_loads = False
        self.at(self.now + VIEW_S, self.view)

    def look(self, call):
        reading_s = call.kind.reading_s * call.size
        return self.supply(call.daemon, reading_s, call.kind.slot_s)

    def supply(self, daemon, reading_s, slot_s):
        if not self.has_loads:
            return None
        slots = self.servers * self.slots
        # A daemon knows its own sends at once.
        taken = self.viewed + self.unseen[daemon]
        share = self.phantom_share + taken / slots
        return Supply(
            busy_share=share,
            wait_s=reading_s + max(0, share - 1) * slot_s,
            reading_s=0,
            slots=slots,
        )

    def arrive(self, kind):
        rate = kind.per_s(self.now)
        if rate:
            self.offer(kind)
        self.at(self.now + self.rng.expovariate(rate or 10), self.arrive, kind)

    def offer(self, kind):
        size = self.rng.choice((0.6, 0.8, 1, 1, 1, 1.2, 1.2, 1.5, 2, 3)) / 1.23
        weights = self.team_weights or (1,) * self.teams
        team = self.rng.choices(range(len(weights)), weights)[0]
        call = Call(
            kind,
            GatedRequest(
                number=next(self.order),
                kind=kind.name,
                priority=kind.priority,
                workspace=f'w{team}',
                objective_s=kind.objective_s,
                arrived_at=self.now,
                deadline=self.now + kind.deadline_s,
                prompt_tokens=round(kind.prompt_tokens * size),
                output_tokens=100,
                longest_pause_s=kind.pause_s,
                body_bytes=1000,
            ),
            size,
            self.rng.randrange(self.daemons),
        )
        for key in self.keys(call):
            self.totals[key].offered += 1
        if not self.is_gated:
            return self.send(call)
        gate = self.gates[call.daemon].service(SERVICE)
        self.settle(call, *gate.arrive(call.request, self.look(call), self.now))
        return None

    @staticmethod
    def keys(call):
        large = 'large' if call.size * 1.23 >= 3 else 'other'
        return (
            call.kind.name,
            (call.kind.name, call.request.workspace),
            (call.kind.name, large),
        )

    def settle(self, call, decision, place):
        match decision:
            case GoOn():
                self.send(call)
            case Refuse():
                self.refuse(call)
            case Wait():
                for key in self.keys(call):
                    self.totals[key].waited += call.number is None
                call.number = place.number
                self.waiting[call.daemon][place.number] = call
                self.at(place.due_at, self.due, call, place.number)

    def due(self, call, number):
        if self.waiting[call.daemon].pop(number, None):
            gate = self.gates[call.daemon].service(SERVICE)
            result = gate.due(number, lambda _: self.look(call), self.now)
            self.settle(call, *result)

    def tick(self, daemon):
        gate = self.gates[daemon].service(SERVICE)
        gate.note_loads(self.supply(daemon, 0, 0), self.now)
        self.release(daemon)
        jitter = 0.75 + self.rng.random() / 2
        self.at(self.now + TICK_S * jitter, self.tick, daemon)

    def look_of(self, daemon):
        calls = {
            id(call.request): call for call in self.waiting[daemon].values()
        }
        return lambda request: self.look(calls[id(request)])

    def release(self, daemon):
        gate = self.gates[daemon].service(SERVICE)
        for number in gate.release(self.look_of(daemon), self.now):
            self.send(self.waiting[daemon].pop(number))

    def refuse(self, call, *, is_held=False):
        held_s = self.now - call.request.arrived_at
        taken = sum(self.running) + sum(map(len, self.queued))
        self.least_busy = min(
            self.least_busy, taken / (self.servers * self.slots)
        )
        for key in self.keys(call):
            total = self.totals[key]
            if held_s > 0.001 or is_held:
                total.held_then_refused += 1
                share = held_s / call.kind.objective_s
                total.longest_lost_hold = max(total.longest_lost_hold, share)
            else:
                total.at_once += 1

    def send(self, call):
        self.admitted_by_daemon[call.daemon] += 1
        for key in self.keys(call):
            self.totals[key].sent += 1
        self.unseen[call.daemon] += 1
        chosen = self.rng.sample(range(self.servers), 3)
        server = min(
            chosen, key=lambda one: self.running[one] + len(self.queued[one])
        )
        if self.running[server] >= self.slots:
            if len(self.queued[server]) >= self.slots:
                gate = self.gates[call.daemon].service(SERVICE)
                gate.rejected(self.now)
                return self.refuse(call, is_held=True)
            entry = (call.kind.priority, next(self.order), call)
            heapq.heappush(self.queued[server], entry)
        else:
            self.start(call, server)
        return None

    def start(self, call, server):
        self.running[server] += 1
        first_s = call.kind.reading_s * call.size
        self.at(self.now + first_s, self.first, call)
        slot_s = call.kind.slot_s * call.size
        self.at(self.now + slot_s, self.end, call, server, first_s, slot_s)

    def first(self, call):
        waited_s = self.now - call.request.arrived_at
        on_time = waited_s <= call.kind.objective_s
        for key in self.keys(call):
            self.totals[key].on_time += on_time
            self.totals[key].late += not on_time
        gate = self.gates[call.daemon].service(SERVICE)
        gate.answered(self.now, waited_s / call.kind.objective_s)

    def end(self, call, server, first_s, slot_s):
        self.running[server] -= 1
        if self.queued[server]:
            self.start(heapq.heappop(self.queued[server])[2], server)
        gate = self.gates[call.daemon]
        gate.ended(call.request, first_s=first_s, rest_s=slot_s - first_s)
        gate.service(SERVICE).ended()
        self.release(call.daemon)
