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
    """Server pool with one server."""

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
        spend_retry=lambda: False,
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


async def hold(queue: SlotQueue, name: str, release: asyncio.Event) -> None:
    async with queue.slot(job(name), SERVERS) as slot:
        await release.wait()
        slot.succeed(1)


@pytest.mark.looptime
class TestSlotQueue:
    async def test_cancelled_waits_free_their_slots(self):
        """Guards against slots that leak when a caller disconnects.

        A waiting task may be cancelled just when it is assigned a slot.
        """
        queue = new_queue()
        release = asyncio.Event()
        tasks = [
            asyncio.create_task(hold(queue, f'r{number}', release))
            for number in range(40)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        release.set()
        # Slots are assigned while the tasks that wait for them are cancelled.
        for task in tasks[::2]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert queue.in_flight == []
        assert sum(queue.waiting.values()) == 0

    async def test_paused_job_waits_again_and_resumes(self):
        """Guards against a paused stream that is lost or keeps its slot."""
        queue = new_queue()
        first = job('long')
        async with queue.slot(first, SERVERS) as slot:
            slot.allow_pause(lambda: None)
            slot.pause()
        async with queue.slot(first, SERVERS, is_queued=True) as again:
            assert again.server is SERVER
            again.succeed(1)
        assert queue.in_flight == []

    async def test_paused_job_that_is_not_resumed_is_removed(self):
        """Guards against a queue that keeps the job of an ended request."""
        queue = new_queue()
        first = job('long')
        async with queue.slot(first, SERVERS) as slot:
            slot.allow_pause(lambda: None)
            slot.pause()
        queue.drop_paused(first)
        assert queue.in_flight == []
        assert sum(queue.waiting.values()) == 0


@pytest.mark.looptime
class TestSupervise:
    async def test_failed_task_is_restarted(self):
        """Guards against one failed task that ends all others of the daemon."""
        runs = []

        async def fails_once():
            runs.append(1)
            if len(runs) == 1:
                raise RuntimeError('first run')

        await supervise(fails_once)
        assert len(runs) == 2
