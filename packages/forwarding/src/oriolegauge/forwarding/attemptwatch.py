"""Wait for the server of an attempt, and replace the attempt if it is silent.

A server's silence alone is no reason to end its answer: the attempt goes on
until another one was sent in its place.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import structlog

from oriolegauge.core.errors import NoServerError
from oriolegauge.forwarding.dispatcher import Attempt
from oriolegauge.forwarding.errors import ReplyBrokenError
from oriolegauge.forwarding.requestretries import RequestRetries
from oriolegauge.forwarding.requeststate import RequestState
from oriolegauge.forwarding.silencelimit import SilenceLimit
from oriolegauge.routing.crashquarantine import QuarantinedError

Part = TypeVar('Part')

log = structlog.get_logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptSender:
    """Send the next attempt of a request.

    `send(excluded)` raises NoServerError or QuarantinedError if nothing was
    sent, and adds servers that accept no connection to `excluded`.
    """

    retries: RequestRetries
    send: Callable[[set[str]], Awaitable[Attempt]]
    clock: Callable[[], float]


class AttemptWatch:
    """Read from the server of one attempt."""

    def __init__(
        self, state: RequestState, attempt: Attempt, sender: AttemptSender
    ) -> None:
        """Store the attempt that replaces this one in `state`."""
        self._state = state
        self._attempt = attempt
        self._sender = sender
        context = state.context
        self._limit = SilenceLimit(context.deadline, context.route.objective_s)

    async def wait(
        self, read: Callable[[], Awaitable[Part]], limit_at: float
    ) -> Part:
        """Return what `read` returns.

        From the loop time `limit_at` on, try to send another attempt; raise
        ReplyBrokenError once it was sent, and at the request's deadline.
        """
        try:
            return await self._wait(read, limit_at)
        except asyncio.CancelledError:
            # The request's deadline cancels it, as does a caller who leaves.
            if self._limit.is_failed(self._sender.clock()):
                self._attempt.ok = False
            raise

    async def _wait(
        self, read: Callable[[], Awaitable[Part]], limit_at: float
    ) -> Part:
        try:
            # Without tasks, since most parts arrive before the limit.
            async with asyncio.timeout_at(self._limit.ask_at(limit_at)):
                return await read()
        except TimeoutError:
            """Ask for a retry, and read on meanwhile."""
        reading = asyncio.ensure_future(read())
        try:
            return await self._wait_or_replace(reading, limit_at)
        finally:
            if not reading.cancel():
                # An error that is not retrieved would be logged.
                reading.exception()

    async def _wait_or_replace(
        self, reading: 'asyncio.Future[Part]', limit_at: float
    ) -> Part:
        while not reading.done():
            now = self._sender.clock()
            if now >= self._state.context.deadline:
                raise ReplyBrokenError('no answer in time')
            if self._sender.retries.take_to_run_again(self._state):
                await self._try_next(reading)
            else:
                self._limit.note_refused(now)
            if self._state.next_attempt:
                raise ReplyBrokenError('no answer in time, replaced')
            wait_s = self._limit.ask_at(limit_at) - self._sender.clock()
            await asyncio.wait((reading,), timeout=max(0, wait_s))
        return reading.result()

    async def _try_next(self, reading: 'asyncio.Future[Part]') -> None:
        """Send the next attempt, or give its retry back."""
        sending = asyncio.create_task(self._send_next())
        try:
            if self._limit.may_interrupt:
                await asyncio.wait(
                    (sending, reading), return_when=asyncio.FIRST_COMPLETED
                )
                self._interrupt(sending, reading)
            # Nothing of the silent server may be used while the next attempt
            # can still be sent.
            await asyncio.wait((sending,))
        finally:
            sending.cancel()
            if self._state.next_attempt is None:
                self._sender.retries.give_back(self._state)
        if not sending.cancelled():
            sending.result()

    def _interrupt(
        self, sending: 'asyncio.Task[None]', reading: 'asyncio.Future[Part]'
    ) -> None:
        """End the send if the silent server goes on."""
        goes_on = reading.done() and reading.exception() is None
        if goes_on and sending.cancel():
            self._limit.note_interrupted()

    async def _send_next(self) -> None:
        state = self._state
        excluded = set(state.excluded)
        try:
            state.next_attempt = await self._sender.send(excluded)
        except (NoServerError, QuarantinedError) as error:
            # The servers that accepted no connection are not excluded for good:
            # they may be reachable when the request is sent again.
            self._limit.note_refused(self._sender.clock())
            log.info(
                'silent server waited for',
                server=self._attempt.server.instance,
                reason=error.message,
            )
        else:
            state.excluded |= excluded
