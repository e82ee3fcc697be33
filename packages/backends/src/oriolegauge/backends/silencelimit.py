"""Limit of the time for which an engine may send nothing."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from oriolegauge.backends.errors import ServerConnectionLostError

TakeRetry = Callable[[], float | None]
Received = TypeVar('Received')


class SilenceLimit:
    """End an attempt that receives nothing once a retry is taken for it.

    Engines may fall silent and go on. An attempt without a retry to replace it
    is kept, as ending it could only lose its answer.
    """

    def __init__(self, *, silence_s: float, take_retry: TakeRetry) -> None:
        """Ask `take_retry` after every `silence_s` of silence.

        It returns the backoff (s) of the retry that it took, or None to keep
        the attempt.
        """
        self._silence_s = silence_s
        self._take_retry = take_retry

    async def run(self, work: Coroutine[Any, Any, Received]) -> Received:
        """Return the result of work that can't be restarted."""
        task = asyncio.create_task(work)
        try:
            return await self.read(lambda: asyncio.shield(task))
        finally:
            task.cancel()

    async def read(
        self, receive: Callable[[], Awaitable[Received]]
    ) -> Received:
        """Return what `receive` returns; it may be cancelled and repeated.

        Raise ServerConnectionLostError if the attempt is to end.
        """
        while True:
            try:
                async with asyncio.timeout(self._silence_s) as limit:
                    return await receive()
            except TimeoutError:
                if not limit.expired():
                    raise
            retry_delay_s = self._take_retry()
            if retry_delay_s is not None:
                raise ServerConnectionLostError(
                    f'nothing received for {self._silence_s} s',
                    timed_out=True,
                    retry_delay_s=retry_delay_s,
                )
