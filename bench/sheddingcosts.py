"""Measure the processor time of one decision of the admission gate."""

import itertools
import random
from collections.abc import Callable
from typing import Any

from bench.figure import Figure
from bench.slope import cpu_us
from oriolegauge.admission import GatedRequest, LoadGate
from oriolegauge.admission.scarcity import Supply
from oriolegauge.admission.servicegate import ServiceGate
from oriolegauge.routing.serverchooser import (
    Candidate,
    PeerLoad,
    ServerChooser,
    Work,
)

SERVERS = 70
SLOTS = 12
WAITING = 1_000
WORKSPACES = 24
# Binding rule 9 of docs/design/scarce-and-uneven-capacity.md.
LIMIT_US = 100.0
FULL = Supply(
    busy_share=1.0, wait_s=0.01, reading_s=0.01, slots=SERVERS * SLOTS
)


def run() -> list[Figure]:
    """Return the costs of a decision with full servers and a full line."""
    look = room_of(SERVERS)
    request = gated(0, priority=1)
    costs = {
        'gate decision, no request waits': decision_us(0),
        'gate decision, 1,000 wait': decision_us(WAITING),
        'gate release, 1,000 wait': release_us(WAITING),
        'room of 70 servers': cpu_us(lambda: look(request)),
    }
    return [
        Figure(measure, cost, LIMIT_US, 'us') for measure, cost in costs.items()
    ]


def decision_us(waiting: int) -> float:
    """Return the cost of a decision with that many waiting requests."""
    gate = full_gate(waiting)
    numbers = itertools.count(1_000_000)

    def decide() -> None:
        request = gated(next(numbers), priority=1)
        gate.arrive(request, FULL, 0.01)
        gate.leave(request.number)

    return cpu_us(decide)


def release_us(waiting: int) -> float:
    """Return the cost of looking for a request that may go on."""
    gate = full_gate(waiting)
    return cpu_us(lambda: gate.release(lambda _: FULL, 0.01))


def full_gate(waiting: int) -> ServiceGate:
    """Return a gate with that many waiting requests of all workspaces."""
    gate = LoadGate(
        rng=random.Random(1),
        members=lambda: 72,
        max_bytes=1_000_000_000,
        max_waiting=100_000,
    ).service('svc')
    for number in range(waiting):
        gate.arrive(gated(number, priority=number % 3), FULL, 0)
    assert gate.waiting >= 0.9 * waiting
    return gate


def gated(number: int, *, priority: int) -> GatedRequest:
    return GatedRequest(
        number=number,
        kind=f'kind-{priority}',
        priority=priority,
        workspace=f'team-{number % WORKSPACES}',
        objective_s=0.635,
        arrived_at=0.0,
        deadline=5.3,
        prompt_tokens=1_000 + number % 97,
        output_tokens=60,
        body_bytes=1_000,
        longest_pause_s=0.4,
    )


def room_of(servers: int) -> Callable[[GatedRequest], Any]:
    """Return the room of loaded servers, as the dispatcher finds it."""
    chooser = ServerChooser(zone='z0', rng=random.Random(1))
    candidates = [
        Candidate(name=f's{number}', zone=f'z{number % 3}', slots=SLOTS)
        for number in range(servers)
    ]
    chooser.note_peers({one.name: PeerLoad(SLOTS, 0) for one in candidates})
    work = Work(prompt_tokens=1_000, output_tokens=60)

    def look(_: GatedRequest) -> Supply:
        room = chooser.room(candidates, work, 0.01)
        return Supply(
            busy_share=room.busy_share,
            wait_s=room.wait_s,
            reading_s=room.reading_s,
            slots=SERVERS * SLOTS,
        )

    return look
