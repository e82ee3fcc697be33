"""Restart of background jobs that fail or end."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

# Limits the load of a job that fails again right after each start.
RESTART_PAUSE_S = 0.5

Job = Callable[[], Awaitable[None]]

log = structlog.get_logger()


async def run_supervised(job: Job) -> None:
    """Run the job until cancelled; start it again whenever it ends.

    An unexpected error, for example from a message of a new form, then
    interrupts one job for a short time and does not end the process with all
    its requests.
    """
    while True:
        try:
            await job()
        except Exception:
            log.exception('background job failed', job=_name(job))
        else:
            log.error('background job ended', job=_name(job))
        await asyncio.sleep(RESTART_PAUSE_S)


def _name(job: Job) -> str:
    return getattr(job, '__qualname__', repr(job))
