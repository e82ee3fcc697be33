"""Simulated link that carries bodies, answers and acknowledgements.

Each direction sends one packet after the other at the rate of the link.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

from oriolegauge.admission import HostBusyError

HEADER_BYTES = 66
PACKET_BYTES = 1_448
SERVER_S = 0.05


@dataclass(frozen=True)
class Kind:
    """Describe one kind of request and its share of the load."""

    name: str
    share: float
    body: int
    events: int
    event_bytes: int
    event_period_s: float
    objective_s: float


LONG = Kind('long', 0.4, 9_200, 7, 71, 0.1, 1.235)
CHAT = Kind('chat', 0.3, 830, 42, 71, 0.045, 0.415)
CALL = Kind('call', 0.3, 600, 1, 500, 0.0, 0.16)
# One tenant on one host, as on the crowded deployment's day with trouble.
KINDS = (LONG, CHAT, CALL)


class LinkModel:
    """Play requests of one caller through a host with a small link."""

    def __init__(self, make_link, *, mbps, kinds=KINDS, seed=1):
        self.now = 0.0
        self.link = make_link(mbps=mbps, clock=lambda: self.now)
        self.kinds = kinds
        self.offered = Counter()
        self.refused = Counter()
        self.on_time = Counter()
        self.longest_queue_s = 0.0
        self._rate = mbps * 1e6 / 8
        self._free_at = {'in': 0.0, 'out': 0.0}
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()

    def play(self, per_s, seconds):
        """Offer that many requests a second; return when all have ended."""
        at = self.now
        until = at + seconds
        while at < until:
            at += self._rng.expovariate(per_s)
            kind = self._rng.choices(
                self.kinds, [kind.share for kind in self.kinds]
            )[0]
            self._at(at, self._arrive, kind)
        while self._events:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)

    def _at(self, when, act, *args):
        heapq.heappush(self._events, (when, next(self._order), act, args))

    def _carry(self, size, direction):
        """Queue the bytes; return when the last one has passed."""
        packets = -(-size // PACKET_BYTES)
        self._pass(packets * HEADER_BYTES, 'out' if direction == 'in' else 'in')
        return self._pass(size + packets * HEADER_BYTES, direction)

    def _pass(self, size, direction):
        begins = max(self.now, self._free_at[direction])
        self.longest_queue_s = max(self.longest_queue_s, begins - self.now)
        self._free_at[direction] = begins + size / self._rate
        return self._free_at[direction]

    def _arrive(self, kind):
        self.offered[kind.name] += 1
        whole_at = self._carry(kind.body + 300, 'in')
        self._at(whole_at, self._admit, kind, self.now)

    def _admit(self, kind, began_at):
        self.link.received(kind.body + 300)
        try:
            self.link.check(kind.body, kind.objective_s, kind.name)
        except HostBusyError:
            self.refused[kind.name] += 1
            self.link.sent(250)
            self._carry(250, 'out')
            return
        booked = self.link.begin_answer(kind.name)
        self.link.sent(kind.body + 300)
        at = self._carry(kind.body + 300, 'out') + SERVER_S
        for number in range(kind.events):
            is_last = number == kind.events - 1
            self._at(at, self._answer, kind, began_at, number, is_last, booked)
            at += kind.event_period_s

    def _answer(self, kind, began_at, number, is_last, booked):
        read_at = self._carry(kind.event_bytes, 'in')
        self._at(
            read_at, self._pass_on, kind, began_at, number, is_last, booked
        )

    def _pass_on(self, kind, began_at, number, is_last, booked):
        self.link.received_answer(kind.event_bytes)
        self.link.sent(kind.event_bytes)
        sent_at = self._carry(kind.event_bytes, 'out')
        if number == 0:
            waited = sent_at - began_at
            self.on_time[kind.name] += waited <= kind.objective_s
        if is_last:
            self.link.end_answer(
                kind.name,
                booked,
                writes=kind.events,
                answer_bytes=kind.events * kind.event_bytes,
                seconds=self.now - began_at,
            )
