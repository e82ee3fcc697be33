"""Background tasks, referenced until they end and logged if they fail."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import structlog

Result = TypeVar('Result')

log = structlog.get_logger()


class TaskSet:
    """Hold references to tasks.

    The event loop holds only weak ones, so that a task without another
    reference could be garbage-collected before it ends.
    """

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def spawn(self, job: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Run the job in the background."""
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._remove)
        return task

    def _remove(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.error('background task failed', exc_info=error)
