"""Requests whose answer is passed on when it is whole."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from oriolegauge.core.bytebudget import ByteLease
from oriolegauge.core.errors import (
    NoServerError,
    OutcomeUnknownError,
    ServerFailedError,
)
from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.dispatcher import FIRST_SERVER_ERROR, Attempt
from oriolegauge.forwarding.errors import ReplyBrokenError
from oriolegauge.forwarding.exchange import ExchangeParts, Serving
from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.headers import end_to_end
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace
from oriolegauge.forwarding.serverconnection import ServerConnection
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.forwarding.serversignals import MISDIRECTED

# Largest answer that is held until it is whole.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# An attempt that can be repeated is given up after this multiple of the
# objective, or this share of the time left if that is longer.
PATIENCE_OBJECTIVES = 3.0
PATIENCE_SHARE = 0.4
# Statuses that promise that the request did not run.
PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@dataclass(frozen=True, slots=True)
class WholeReply:
    """Hold a reply with its body."""

    reply: ServerReply
    body: bytes

    @property
    def summary(self) -> str:
        """Describe the reply for the logs."""
        framing = ' unframed' if self.reply.ends_with_connection else ''
        return f'{self.reply.status}{framing}, {len(self.body)} bytes'


@dataclass(slots=True)
class _WholeServing(Serving):
    """Keep a failure that is passed on if nothing better comes."""

    failure: WholeReply | None = None


def is_genuine(reply: ServerReply, names: HeaderNames) -> bool:
    """State whether a success was made by a server for this request."""
    if not reply.is_success:
        return True
    return bool(reply.header(names.signature)) and not reply.header(
        'Content-Encoding'
    )


async def read_body(
    connection: ServerConnection, until: float, held: ByteLease
) -> bytes:
    """Return the whole body of a reply; raise ReplyBrokenError."""
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout_at(until):
            while (part := await connection.read()) is not None:
                parts.append(part)
                size += len(part)
                if size > MAX_ANSWER_BYTES:
                    raise ReplyBrokenError('the answer is too large')
                if not held.add(len(part)):
                    raise ReplyBrokenError('too much is buffered')
    except TimeoutError:
        raise ReplyBrokenError('the answer is not whole in time') from None
    return b''.join(parts)


class WholeExchange:
    """Answer requests of plain services, with retries where they may run."""

    def __init__(self, parts: ExchangeParts) -> None:
        """Send requests by the parts."""
        self._parts = parts

    async def serve(
        self, context: RequestContext, trace: RequestTrace, answer: Answer
    ) -> None:
        """Answer the request; raise an OriolegaugeError if none is had."""
        with self._parts.buffers.lease() as held:
            serving = _WholeServing(context, trace, answer, held)
            while not await self._attempt(serving):
                """The request is sent to another server."""

    async def _attempt(self, serving: _WholeServing) -> bool:
        """Return whether the request was answered."""
        context, trace = serving.context, serving.trace
        try:
            attempt = await self._parts.dispatcher.send(
                context, trace, excluded=serving.excluded
            )
        except NoServerError as error:
            await self._give_up(serving, error)
            return True
        serving.excluded.add(attempt.server.instance)
        serving.sends += 1
        try:
            got = await self._exchange(serving, attempt)
        except ReplyBrokenError as error:
            trace.note(attempt.server.instance, error.message)
            serving.has_run = True
            if self._may_repeat(serving):
                return False
            is_late = self._parts.clock() >= context.deadline
            raise _unanswered(error, is_late) from error
        trace.note(attempt.server.instance, got.summary)
        return await self._judge(serving, got)

    async def _judge(self, serving: _WholeServing, got: WholeReply) -> bool:
        """Return whether the reply ends the request."""
        status = got.reply.status
        not_run = got.reply.header(self._parts.names.not_run)
        if status == MISDIRECTED or not_run:
            # A server that is not the one meant is none of the service.
            serving.sends -= status == MISDIRECTED
            serving.trace.may_have_run = serving.has_run
            if self._parts.may_send_again(serving):
                return False
            await self._give_up(
                serving,
                self._parts.dispatcher.rejection(serving.context.service),
            )
            return True
        serving.has_run = True
        if status in PROMISES and not serving.context.route.is_repeatable:
            raise ServerFailedError(f'the server answered {status}')
        is_failure = status >= FIRST_SERVER_ERROR
        if is_failure and self._may_repeat(serving):
            serving.failure = got
            return False
        await _pass_on(serving, got)
        return True

    async def _give_up(
        self, serving: _WholeServing, error: NoServerError
    ) -> None:
        if serving.failure:
            return await _pass_on(serving, serving.failure)
        if serving.has_run:
            raise ServerFailedError(error.message) from error
        raise error

    async def _exchange(
        self, serving: _WholeServing, attempt: Attempt
    ) -> WholeReply:
        dispatcher = self._parts.dispatcher
        try:
            reply = await dispatcher.head(attempt, self._patience(serving))
            dispatcher.judge(attempt, reply)
            body = await read_body(
                attempt.connection, serving.context.deadline, serving.held
            )
            if not is_genuine(reply, self._parts.names):
                raise ReplyBrokenError('a success without a signature')
        except ReplyBrokenError:
            attempt.ok = False
            raise
        else:
            return WholeReply(reply, body)
        finally:
            dispatcher.close(attempt)

    def _patience(self, serving: _WholeServing) -> float:
        context = serving.context
        route = context.route
        if not route.is_repeatable or serving.sends >= route.max_attempts:
            return context.deadline
        now = self._parts.clock()
        left = context.deadline - now
        wait = max(
            PATIENCE_OBJECTIVES * route.objective_s, PATIENCE_SHARE * left
        )
        return min(context.deadline, now + wait)

    def _may_repeat(self, serving: _WholeServing) -> bool:
        """State whether a request that may have run may run again."""
        is_repeatable = serving.context.route.is_repeatable
        return is_repeatable and self._parts.may_send_again(serving)


async def _pass_on(serving: _WholeServing, got: WholeReply) -> None:
    outcome = 'answered' if got.reply.is_success else 'failed'
    serving.trace.outcome = outcome
    await serving.answer.whole(
        got.reply.status, end_to_end(got.reply.headers), got.body
    )


def _unanswered(
    error: ReplyBrokenError, is_late: bool
) -> OutcomeUnknownError | ServerFailedError:
    if is_late:
        return OutcomeUnknownError(error.message)
    return ServerFailedError(error.message)
