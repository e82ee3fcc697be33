"""Background jobs that outlive faults of their own."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

# A job that fails at once each time costs little with this pause.
RESTART_PAUSE_S = 0.5

Job = Callable[[], Awaitable[None]]

log = structlog.get_logger()


async def run_supervised(job: Job) -> None:
    """Run the job until cancelled; start it again whenever it ends.

    An error that nobody foresaw, such as the first of its kind in a message,
    then costs one job a pause and not the process with all its requests.
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
