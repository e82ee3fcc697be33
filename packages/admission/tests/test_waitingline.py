"""Order and bounds of the requests that wait at the gate."""

import random

from oriolegauge.admission import GatedRequest
from oriolegauge.admission.waitingline import (
    LineBounds,
    WaitingLine,
    WaitingRequest,
)


def waiting(number, *, priority=1, team='a', slack=1.0, work=1.0, size=10):
    return WaitingRequest(
        request=GatedRequest(
            number=number,
            kind='kind',
            priority=priority,
            workspace=team,
            objective_s=1.0,
            arrived_at=0,
            deadline=5.0,
            body_bytes=size,
        ),
        work_s=work,
        due_at=slack,
        slack_ends_at=slack,
        is_promised=True,
    )


def line_of(*requests, count=100, size=10_000):
    bounds = LineBounds(count, size)
    line = WaitingLine(bounds)
    for request in requests:
        line.push(request)
    return line, bounds


def drained(line):
    numbers = []
    while line.priorities:
        head = line.head(line.priorities[0])
        line.remove(head.number)
        line.charge(head.request, head.work_s)
        numbers.append(head.number)
    return numbers


class TestOrder:
    def test_priority_then_slack_then_work(self):
        """Guards against a request that loses its slack behind another."""
        line, _ = line_of(
            waiting(1, priority=2, slack=0.1),
            waiting(2, slack=0.9),
            waiting(3, slack=0.5, work=2.0),
            waiting(4, slack=0.5, work=1.0),
            waiting(5, priority=0, slack=9.0),
        )
        assert drained(line) == [5, 4, 3, 2, 1]

    def test_workspaces_take_turns_by_work(self):
        """Guards against a workspace that is served all it sent first."""
        flood = [waiting(number, team='flood') for number in range(4)]
        line, _ = line_of(*flood, waiting(9, team='b', work=2.0, slack=5.0))
        assert drained(line).index(9) <= 1

    def test_removed_requests_are_never_served(self):
        """Guards against sends for callers that have left."""
        rng = random.Random(1)
        line, bounds = line_of(
            *(
                waiting(number, slack=rng.random(), team=f't{number % 3}')
                for number in range(90)
            )
        )
        left = rng.sample(range(90), 60)
        for number in left:
            line.remove(number)
        assert line.remove(left[0]) is None
        assert sorted(drained(line)) == sorted(set(range(90)) - set(left))
        assert (bounds.free_count, bounds.free_bytes) == (100, 10_000)


class TestBounds:
    def test_flood_of_one_workspace_leaves_room_for_others(self):
        """Guards against a line that one workspace fills."""
        line, _ = line_of(count=10)
        number = 0
        while line.may_add(waiting(number, team='flood').request):
            line.push(waiting(number, team='flood'))
            number += 1
        assert number == 5
        assert line.may_add(waiting(number, team='other').request)
        assert line.may_add(waiting(number, team='flood', priority=0).request)

    def test_large_bodies_are_bounded_by_bytes(self):
        """Guards against waiting bodies that use up the host's memory."""
        line, bounds = line_of(size=1_000)
        number = 0
        while line.may_add(waiting(number, size=300).request):
            line.push(waiting(number, size=300))
            number += 1
        assert number == 2
        assert not line.may_add(waiting(9, team='b', size=401).request)
        assert line.may_add(waiting(9, team='b', size=400).request)
        assert bounds.free_bytes == 400
