"""Background jobs that fail or end unexpectedly."""

import asyncio

import pytest

from oriolegauge.core.supervisor import RESTART_PAUSE_S, run_supervised
from oriolegauge.core.taskset import TaskSet


@pytest.mark.looptime
class TestSupervisor:
    @pytest.mark.parametrize('error', [KeyError('x'), None])
    async def test_job_is_restarted_after_it_fails_or_ends(self, error):
        """Guards against one unexpected error that stops a job for good."""
        starts = []

        async def job():
            starts.append(1)
            if len(starts) < 3 and error:
                raise error
            if len(starts) >= 3:
                await asyncio.Event().wait()

        task = asyncio.create_task(run_supervised(job))
        await asyncio.sleep(RESTART_PAUSE_S * 5)
        assert len(starts) == 3
        assert not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_error_of_a_task_is_logged(self, capsys):
        """Guards against a background task whose error is dropped silently."""

        async def job():
            raise KeyError('lost')

        tasks = TaskSet()
        tasks.spawn(job())
        await asyncio.sleep(0.01)
        assert not len(tasks)
        assert 'background task failed' in capsys.readouterr().out
