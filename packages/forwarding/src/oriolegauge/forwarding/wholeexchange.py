"""Forward requests whose answer is buffered until it is complete.

Until then a failed attempt can be repeated on another server without the caller
seeing it.
"""

import math
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus

from oriolegauge.core.bytebudget import ByteLease
from oriolegauge.core.errors import (
    NoServerError,
    OutcomeUnknownError,
    ServerFailedError,
)
from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.attemptwatch import AttemptSender, AttemptWatch
from oriolegauge.forwarding.dispatcher import FIRST_SERVER_ERROR, Attempt
from oriolegauge.forwarding.errors import ReplyBrokenError
from oriolegauge.forwarding.exchange import ExchangeDependencies
from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.headers import answer_headers
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace
from oriolegauge.forwarding.requeststate import RequestState
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.forwarding.serversignals import MISDIRECTED
from oriolegauge.forwarding.wholereply import WholeReply
from oriolegauge.routing.crashquarantine import QuarantinedError

# Largest answer that is buffered.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Another server is tried after this multiple of the time
# objective, or after this share of the time left if that is longer.
ATTEMPT_TIMEOUT_OBJECTIVES = 3.0
ATTEMPT_TIMEOUT_SHARE = 0.4
# Statuses that tell the caller that the request did not run.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def is_genuine(reply: ServerReply, names: HeaderNames) -> bool:
    """Return false for a success that is unsigned or has a coded body.

    Such a reply was not made by a server for this request.
    """
    if not reply.is_success:
        return True
    return bool(reply.header(names.signature)) and not reply.header(
        'Content-Encoding'
    )


async def read_body(
    read: Callable[[], Awaitable[bytes | None]], buffer_lease: ByteLease
) -> bytes:
    """Return the whole body of a reply, of which `read` returns parts.

    Raise ReplyBrokenError if it is too large.
    """
    parts: list[bytes] = []
    size = 0
    while (part := await read()) is not None:
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise ReplyBrokenError('the answer is too large')
        if not buffer_lease.add(len(part)):
            raise ReplyBrokenError('too much is buffered')
    return b''.join(parts)


async def finish_without_server(
    state: RequestState, error: NoServerError | QuarantinedError
) -> None:
    """Pass on the failure of an earlier attempt; raise if there is none."""
    if state.failure and not state.answer.is_started:
        return await _pass_on(state, state.failure)
    if state.attempt_may_have_run:
        raise ServerFailedError(error.message) from error
    raise error


class WholeExchange:
    """Answer requests without streams, with retries where allowed."""

    def __init__(self, dependencies: ExchangeDependencies) -> None:
        """Use the dependencies to send requests."""
        self._dependencies = dependencies

    async def serve(
        self, context: RequestContext, trace: RequestTrace, answer: Answer
    ) -> None:
        """Answer the request; raise an OriolegaugeError if no server does."""
        with self._dependencies.buffers.lease() as buffer_lease:
            state = RequestState(
                context,
                trace,
                answer,
                buffer_lease,
                may_run_again=context.route.is_repeatable,
            )
            try:
                while not await self._attempt(state):
                    """Send the request to another server."""
            finally:
                self._dependencies.finish(state)

    async def _attempt(self, state: RequestState) -> bool:
        """Return whether the request was answered."""
        context, trace = state.context, state.trace
        try:
            attempt = state.take_next_attempt() or await self._send(
                state, state.excluded
            )
        except (NoServerError, QuarantinedError) as error:
            await finish_without_server(state, error)
            return True
        state.note_sent(attempt)
        try:
            whole_reply = await self._exchange(state, attempt)
        except ReplyBrokenError as error:
            trace.note(attempt.server.instance, error.message)
            state.attempt_may_have_run = True
            if self._dependencies.retries.take_to_run_again(state):
                return False
            is_late = self._dependencies.clock() >= context.deadline
            raise _broken_reply_error(error, is_late) from error
        trace.note(attempt.server.instance, whole_reply.summary)
        return await self._handle_reply(state, whole_reply)

    async def _send(self, state: RequestState, excluded: set[str]) -> Attempt:
        return await self._dependencies.dispatcher.send(
            state.context, state.trace, excluded=excluded
        )

    async def _handle_reply(
        self, state: RequestState, whole_reply: WholeReply
    ) -> bool:
        """Return whether the reply ends the request."""
        status = whole_reply.reply.status
        not_run = whole_reply.reply.header(self._dependencies.names.not_run)
        if status == MISDIRECTED or not_run:
            # The request reached another server than the chosen one, so this
            # attempt doesn't count.
            state.sends -= status == MISDIRECTED
            state.trace.may_have_run = state.attempt_may_have_run
            if self._dependencies.retries.take(state):
                return False
            await finish_without_server(
                state,
                self._dependencies.dispatcher.rejection(state.context),
            )
            return True
        state.attempt_may_have_run = True
        if status in NOT_RUN_STATUSES and not state.context.route.is_repeatable:
            raise ServerFailedError(f'the server answered {status}')
        is_failure = status >= FIRST_SERVER_ERROR
        if is_failure and self._dependencies.retries.take_to_run_again(state):
            state.failure = whole_reply
            return False
        await _pass_on(state, whole_reply)
        return True

    async def _exchange(
        self, state: RequestState, attempt: Attempt
    ) -> WholeReply:
        dispatcher = self._dependencies.dispatcher
        sender = AttemptSender(
            retries=self._dependencies.retries,
            send=partial(self._send, state),
            clock=self._dependencies.clock,
        )
        try:
            reply = await AttemptWatch(state, attempt, sender).wait(
                partial(dispatcher.wait_for_header, attempt),
                self._limit_at(state),
            )
            dispatcher.record_reply(attempt, reply)
            body = await read_body(attempt.connection.read, state.buffer_lease)
            if not is_genuine(reply, self._dependencies.names):
                raise ReplyBrokenError('a success without a signature')
        except ReplyBrokenError:
            attempt.ok = False
            raise
        else:
            if reply.is_success:
                dispatcher.record_harmless(attempt)
            return WholeReply(reply, body)
        finally:
            dispatcher.close(attempt)

    def _limit_at(self, state: RequestState) -> float:
        """Return the loop time from which on the attempt may be replaced."""
        if not state.may_run_again:
            return math.inf
        context = state.context
        now = self._dependencies.clock()
        left = context.deadline - now
        return now + max(
            ATTEMPT_TIMEOUT_OBJECTIVES * context.route.objective_s,
            ATTEMPT_TIMEOUT_SHARE * left,
        )


async def _pass_on(state: RequestState, whole_reply: WholeReply) -> None:
    outcome = 'answered' if whole_reply.reply.is_success else 'failed'
    state.trace.outcome = outcome
    await state.answer.send_whole(
        whole_reply.reply.status,
        answer_headers(
            whole_reply.reply.headers,
            is_to_head=state.context.request.is_head,
        ),
        whole_reply.body,
    )


def _broken_reply_error(
    error: ReplyBrokenError, is_late: bool
) -> OutcomeUnknownError | ServerFailedError:
    if is_late:
        return OutcomeUnknownError(error.message)
    return ServerFailedError(error.message)
