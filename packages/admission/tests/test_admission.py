"""Rejections by the admission queue under overload."""

import random

import pytest

from oriolegauge.admission import (
    AdmissionQueue,
    DeadlineUnreachableError,
    Job,
    QueueFullError,
    QueueLimits,
    ServerSlots,
)
from oriolegauge.core import Priority, RunState

MODEL = 'm'


def make_job(request_id, **changes):
    values = {
        'request_id': request_id,
        'team': 'a',
        'priority': Priority.NORMAL,
        'predicted_tokens': 100,
        'enqueued_at': 0.0,
        'model': MODEL,
        **changes,
    }
    return Job(**values)


def slots(name='s1', free=1, limit=4):
    return ServerSlots(
        name=name, models=frozenset({MODEL}), free=free, limit=limit
    )


def make_queue(**limits):
    return AdmissionQueue(rng=random.Random(1), limits=QueueLimits(**limits))


class TestRejections:
    def test_full_queue_rejects_as_not_run_with_retry_time(self):
        queue = make_queue(max_waiting_per_class=3)
        for number in range(2):
            queue.offer(make_job(f'{number}'), 0.0)
        with pytest.raises(QueueFullError) as rejection:
            queue.offer(make_job('late'), 0.0)
        assert rejection.value.run_state is RunState.NOT_RUN
        assert rejection.value.retry_after_s > 0

    def test_flood_by_one_team_leaves_slots_for_other_teams(self):
        queue = make_queue(max_waiting_per_class=9)
        with pytest.raises(QueueFullError):
            for number in range(9):
                queue.offer(make_job(f'{number}'), 0.0)
        queue.offer(make_job('other', team='b'), 0.0)

    def test_retry_time_follows_the_measured_token_rate(self):
        queue = make_queue()
        first = make_job('first')
        queue.offer(first, 0.0)
        assert queue.take([slots()], 0.0) is first
        queue.finished(first, 100, 10.0)
        for number in range(3):
            queue.offer(make_job(f'{number}', enqueued_at=10.0), 10.0)
        queue.take([slots()], 10.0)
        with pytest.raises(DeadlineUnreachableError) as rejection:
            queue.offer(make_job('x', enqueued_at=10.0, deadline=25.0), 10.0)
        assert 20 <= rejection.value.retry_after_s <= 30
