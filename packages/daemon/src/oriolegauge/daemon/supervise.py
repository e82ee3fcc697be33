"""Restart background tasks that fail."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

RESTART_DELAY_S = 1.0

log = structlog.get_logger()


async def supervise(job: Callable[[], Awaitable[None]]) -> None:
    """Run the job until it returns; log each failure and restart it.

    One failed task must not end all streams of the daemon.
    """
    while True:
        try:
            return await job()
        except Exception:
            log.exception('background task failed', task=job.__qualname__)
        await asyncio.sleep(RESTART_DELAY_S)
