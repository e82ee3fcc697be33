"""Background tasks that are kept until they end."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import structlog

Result = TypeVar('Result')

log = structlog.get_logger()


class TaskSet:
    """Hold references to tasks, which the event loop does not."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        """Return the number of tasks that run."""
        return len(self._tasks)

    def spawn(self, job: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Run the job in the background."""
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._end)
        return task

    def _end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.error('background task failed', exc_info=error)
