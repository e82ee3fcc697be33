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
BALANCER_S = 2.0


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
        self.moved = Counter()
        self.on_time = Counter()
        self._unready_since = None
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
        if self._is_moved():
            self.moved[kind.name] += 1
            return
        self.offered[kind.name] += 1
        whole_at = self._carry(kind.body + 300, 'in')
        self._at(whole_at, self._admit, kind, self.now)

    def _admit(self, kind, began_at):
        self.link.received(kind.body + 300)
        try:
            self.link.check(kind.body, kind.objective_s)
        except HostBusyError as error:
            self.refused[kind.name] += 1
            self.link.sent(250)
            back_at = self._carry(250, 'out') + error.retry_after_s
            if back_at < began_at + 5:
                self._at(back_at, self._arrive, kind)
            return
        self.link.sent(kind.body + 300)
        at = self._carry(kind.body + 300, 'out') + SERVER_S
        for number in range(kind.events):
            self._at(at, self._answer, kind, began_at, number)
            at += kind.event_period_s

    def _answer(self, kind, began_at, number):
        read_at = self._carry(kind.event_bytes, 'in')
        self._at(read_at, self._pass_on, kind, began_at, number)

    def _is_moved(self):
        """State whether the balancer sends the caller elsewhere.

        It sends it to the same host, also after a refusal, until the host was
        not ready for two health checks.
        """
        if not self.link.is_congested:
            self._unready_since = None
        elif self._unready_since is None:
            self._unready_since = self.now
        return (
            self._unready_since is not None
            and self.now - self._unready_since > BALANCER_S
        )

    def _pass_on(self, kind, began_at, number):
        self.link.received_answer(kind.event_bytes)
        self.link.sent(kind.event_bytes)
        sent_at = self._carry(kind.event_bytes, 'out')
        if number == 0:
            waited = sent_at - began_at
            self.on_time[kind.name] += waited <= kind.objective_s
