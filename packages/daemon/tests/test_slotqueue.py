import asyncio
import random

import pytest

from oriolegauge.admission import Job
from oriolegauge.backends import BackendServer
from oriolegauge.core import Priority
from oriolegauge.daemon.slotqueue import SlotQueue
from oriolegauge.daemon.supervise import supervise
from oriolegauge.routing import Router, ServerView

SERVER = BackendServer(
    name='e1', url='http://e1', zone='a', models=frozenset({'m'})
)
SERVERS = {'e1': SERVER}


class Pool:
    """Offer one server."""

    def engines(self):
        return [SERVER]

    def view(self, server):
        return ServerView(
            name=server.name, zone=server.zone, models=server.models
        )


def new_queue() -> SlotQueue:
    rng = random.Random(1)
    return SlotQueue(
        pool=Pool(),
        router=Router(zone='a', rng=rng),
        rng=rng,
        clock=asyncio.get_running_loop().time,
        may_move=lambda: False,
    )


def job(name: str, tokens: int = 10) -> Job:
    return Job(
        request_id=name,
        team='t',
        priority=Priority.NORMAL,
        predicted_tokens=tokens,
        enqueued_at=asyncio.get_running_loop().time(),
        model='m',
        allowed_servers=frozenset(SERVERS),
    )


async def hold(queue: SlotQueue, name: str, leave: asyncio.Event) -> None:
    async with queue.slot(job(name), SERVERS) as slot:
        await leave.wait()
        slot.succeed(1)


@pytest.mark.looptime
class TestSlotQueue:
    async def test_cancelled_waits_free_their_places(self):
        """Guards against places that leak when a caller leaves."""
        queue = new_queue()
        leave = asyncio.Event()
        tasks = [
            asyncio.create_task(hold(queue, f'r{number}', leave))
            for number in range(40)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        leave.set()
        # Places are given while the tasks that get them are being cancelled.
        for task in tasks[::2]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert queue.in_flight == []
        assert sum(queue.waiting.values()) == 0

    async def test_paused_job_waits_again_and_goes_on(self):
        """Guards against a paused stream that is lost or holds its place."""
        queue = new_queue()
        first = job('long')
        async with queue.slot(first, SERVERS) as slot:
            slot.allow_pause(lambda: None)
            slot.pause()
        async with queue.slot(first, SERVERS, is_queued=True) as again:
            assert again.server is SERVER
            again.succeed(1)
        assert queue.in_flight == []

    async def test_paused_job_that_is_not_resumed_is_forgotten(self):
        """Guards against a queue that waits for a request that ended."""
        queue = new_queue()
        first = job('long')
        async with queue.slot(first, SERVERS) as slot:
            slot.allow_pause(lambda: None)
            slot.pause()
        queue.forget(first)
        assert queue.in_flight == []
        assert sum(queue.waiting.values()) == 0


@pytest.mark.looptime
class TestSupervise:
    async def test_failed_task_starts_again(self):
        """Guards against one failed task that ends the whole daemon."""
        runs = []

        async def fails_once():
            runs.append(1)
            if len(runs) == 1:
                raise RuntimeError('first run')

        await supervise(fails_once)
        assert len(runs) == 2
