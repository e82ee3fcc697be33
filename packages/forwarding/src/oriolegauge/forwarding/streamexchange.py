"""Forward event streams as they arrive, and resume them on another server.

A stream is resumed if its server fails, stalls or skips an event, so that the
caller still gets one uninterrupted answer.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

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
from oriolegauge.forwarding.eventsplitter import Event, EventSplitter
from oriolegauge.forwarding.exchange import ExchangeDependencies
from oriolegauge.forwarding.headers import end_to_end
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace
from oriolegauge.forwarding.requeststate import RequestState
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.forwarding.serversignals import MISDIRECTED
from oriolegauge.forwarding.streamprogress import StreamProgress
from oriolegauge.forwarding.wholeexchange import (
    NOT_RUN_STATUSES,
    finish_without_server,
    is_genuine,
    read_body,
)
from oriolegauge.forwarding.wholereply import WholeReply
from oriolegauge.routing.crashquarantine import QuarantinedError

LAST_EVENT_ID = 'Last-Event-Id'
EVENT_STREAM = 'text/event-stream'
# A resumable stream is resumed elsewhere after this multiple of the longest
# allowed pause without progress, but not before MIN_STALL_TIMEOUT_S: inference
# engines preempt requests for a while.
STALL_TIMEOUT_PAUSES = 4.0
MIN_STALL_TIMEOUT_S = 1.2
# The timeout before the first event, as a multiple of the time objective.
FIRST_EVENT_TIMEOUT_OBJECTIVES = 2.5


@dataclass(slots=True)
class _StreamState(RequestState):
    """Hold the id of the last event that was sent to the caller.

    `origin` is the attempt of the caller that brought the first event, None if
    an earlier one did that is not known.
    """

    last_id: str | None = None
    origin: str | None = None
    is_begun: bool = False


class StreamExchange:
    """Answer streaming requests, each within one answer to the caller."""

    def __init__(self, dependencies: ExchangeDependencies) -> None:
        """Use the dependencies to send requests."""
        self._dependencies = dependencies

    async def serve(
        self, context: RequestContext, trace: RequestTrace, answer: Answer
    ) -> None:
        """Answer the request; raise an OriolegaugeError if no server does."""
        last_id = context.request.header(LAST_EVENT_ID) or None
        with self._dependencies.buffers.lease() as buffer_lease:
            state = _StreamState(
                context,
                trace,
                answer,
                buffer_lease,
                may_run_again=context.route.is_resumable,
                last_id=last_id,
            )
            await self._find_version(state)
            try:
                while not await self._attempt(state):
                    """Resume the stream on another server."""
            finally:
                self._dependencies.finish(state)

    async def _find_version(self, state: _StreamState) -> None:
        """Find out the version of the servers that may answer the stream."""
        context, trace = state.context, state.trace
        if not context.route.is_resumable:
            return
        resumes = context.request.header(self._dependencies.names.resumes)
        versions = self._dependencies.versions
        if resumes or state.last_id is not None:
            state.origin = trace.resumes = resumes or None
            state.version = await versions.origin(context.service, state.origin)
        else:
            state.origin = context.request_id
            state.version = await versions.place(
                context.service, context.request_id
            )
        trace.version = state.version

    def _note_begun(self, state: _StreamState, attempt: Attempt) -> None:
        """Note the version of the server whose events the caller gets."""
        if state.is_begun or not state.context.route.is_resumable:
            return
        state.is_begun = True
        state.version = state.trace.version = attempt.server.version
        if state.origin:
            self._dependencies.versions.note_begun(
                state.context.service, state.origin, attempt.server.version
            )

    async def _attempt(self, state: _StreamState) -> bool:
        """Return whether the answer is finished."""
        try:
            attempt = state.take_next_attempt() or await self._send(
                state, state.excluded
            )
        except (NoServerError, QuarantinedError) as error:
            await finish_without_server(state, error)
            return True
        state.note_sent(attempt)
        watch = self._watch(state, attempt)
        try:
            return await self._exchange(state, attempt, watch)
        except ReplyBrokenError as error:
            attempt.ok = False
            state.attempt_may_have_run = True
            state.trace.note(attempt.server.instance, error.message)
            if self._dependencies.retries.take_to_run_again(state):
                return False
            if self._dependencies.clock() >= state.context.deadline:
                raise OutcomeUnknownError(error.message) from error
            raise ServerFailedError(error.message) from error
        finally:
            self._dependencies.dispatcher.close(attempt)

    def _watch(self, state: _StreamState, attempt: Attempt) -> AttemptWatch:
        sender = AttemptSender(
            retries=self._dependencies.retries,
            send=partial(self._send, state),
            clock=self._dependencies.clock,
        )
        return AttemptWatch(state, attempt, sender)

    async def _send(self, state: _StreamState, excluded: set[str]) -> Attempt:
        extra_headers = []
        if state.last_id is not None:
            extra_headers.append((LAST_EVENT_ID, state.last_id))
        return await self._dependencies.dispatcher.send(
            state.context,
            state.trace,
            excluded=excluded,
            version=state.version,
            extra_headers=extra_headers,
        )

    async def _exchange(
        self, state: _StreamState, attempt: Attempt, watch: AttemptWatch
    ) -> bool:
        """Return whether the answer is finished."""
        reply = await watch.wait(
            partial(self._dependencies.dispatcher.wait_for_header, attempt),
            _first_event_limit(state, self._dependencies.clock()),
        )
        if not reply.is_success:
            body = await self._body(state, attempt, watch)
            return await self._handle_failure(state, attempt, reply, body)
        if not is_genuine(reply, self._dependencies.names):
            raise ReplyBrokenError('a success without a signature')
        if state.answer.is_started and not _is_event_stream(reply):
            raise ReplyBrokenError('the stream is resumed by another type')
        state.attempt_may_have_run = True
        with self._dependencies.buffers.lease() as buffer_lease:
            relay = _EventRelay(state, buffer_lease, self._dependencies.clock())
            await self._relay(relay, attempt, reply, watch)
        self._dependencies.dispatcher.record_harmless(attempt)
        if state.origin:
            self._dependencies.versions.note_whole(state.origin)
        state.trace.note(attempt.server.instance, 'whole')
        state.trace.outcome = 'answered'
        return True

    async def _relay(
        self,
        relay: '_EventRelay',
        attempt: Attempt,
        reply: ServerReply,
        watch: AttemptWatch,
    ) -> None:
        state = relay.state
        answer = state.answer
        while True:
            limit_at = _event_limit(state, attempt, relay.progress_at)
            part = await watch.wait(attempt.connection.read, limit_at)
            if part is None:
                break
            now = self._dependencies.clock()
            step = relay.add(part, now)
            if step.has_message:
                self._note_begun(state, attempt)
                self._dependencies.dispatcher.record_part(attempt)
                received_at = state.context.request.received_at
                state.trace.note_event(now, received_at)
            if step.ready_bytes:
                await _pass_on(answer, reply, step.ready_bytes)
            if step.broken_reason:
                raise ReplyBrokenError(step.broken_reason)
        if reply.ends_with_connection and not attempt.parts:
            _check_has_no_events(reply)
        await _finish(answer, reply, relay.unsent, relay.incomplete_event)

    async def _handle_failure(
        self,
        state: _StreamState,
        attempt: Attempt,
        reply: ServerReply,
        body: bytes,
    ) -> bool:
        answer, trace = state.answer, state.trace
        self._dependencies.dispatcher.record_reply(attempt, reply)
        trace.note(attempt.server.instance, str(reply.status))
        is_misdirected = reply.status == MISDIRECTED
        if is_misdirected or reply.header(self._dependencies.names.not_run):
            state.sends -= is_misdirected
            trace.may_have_run = state.attempt_may_have_run
            if self._dependencies.retries.take(state):
                return False
            if state.attempt_may_have_run:
                raise ServerFailedError('the stream can not be resumed')
            raise self._dependencies.dispatcher.rejection(state.context)
        state.attempt_may_have_run = True
        is_failure = reply.status >= FIRST_SERVER_ERROR
        may_pass_on = reply.status not in NOT_RUN_STATUSES
        if is_failure and self._dependencies.retries.take_to_run_again(state):
            state.failure = WholeReply(reply, body) if may_pass_on else None
            return False
        if answer.is_started or not may_pass_on:
            raise ServerFailedError(f'the server answered {reply.status}')
        trace.outcome = 'failed'
        await answer.send_whole(reply.status, end_to_end(reply.headers), body)
        return True

    async def _body(
        self, state: _StreamState, attempt: Attempt, watch: AttemptWatch
    ) -> bytes:
        limit_at = _first_event_limit(state, self._dependencies.clock())
        read = partial(watch.wait, attempt.connection.read, limit_at)
        return await read_body(read, state.buffer_lease)


@dataclass(frozen=True, slots=True)
class _RelayStep:
    """Hold the bytes to send, and why the stream is broken after them.

    `broken_reason` is empty if the stream goes on.
    """

    ready_bytes: bytes
    has_message: bool
    broken_reason: str


class _EventRelay:
    """Select the events of one server's stream that the caller lacks."""

    def __init__(
        self, state: _StreamState, buffer_lease: ByteLease, now: float
    ) -> None:
        self.state = state
        self._is_resumed = state.answer.is_started
        self._buffer_lease = buffer_lease
        self._splitter = EventSplitter()
        self._progress = StreamProgress(now)
        # Comments before the first event are held back: they don't start the
        # answer, so that it can still become an error.
        self._unsent: list[bytes] = []

    @property
    def progress_at(self) -> float:
        return self._progress.progress_at

    @property
    def unsent(self) -> bytes:
        return b''.join(self._unsent)

    @property
    def incomplete_event(self) -> bytes:
        return self._splitter.incomplete_event

    def add(self, part: bytes, now: float) -> _RelayStep:
        already = self.state.trace.events
        events, is_gap = _next_events(
            self._splitter.feed(part),
            self.state,
            needs_ids=self._is_resumed,
        )
        self._unsent += events
        has_message = self.state.trace.events > already
        self._note_progress(len(part), has_message, now)
        ready_bytes = b''
        if self.state.trace.events:
            ready_bytes = self.unsent
            self._unsent = []
        broken_reason = (
            'an event is missing' if is_gap else self._check_limits()
        )
        return _RelayStep(ready_bytes, has_message, broken_reason)

    def _note_progress(
        self, received: int, has_message: bool, now: float
    ) -> None:
        splitter = self._splitter
        in_event = (
            0 if splitter.is_in_comment else splitter.incomplete_event_bytes
        )
        self._progress.note_bytes(received, in_event=in_event, now=now)
        if has_message:
            self._progress.note_event(now)

    def _check_limits(self) -> str:
        self._buffer_lease.release()
        if (
            self._progress.exceeds_event_limit
            or self._splitter.has_too_many_comments
        ):
            return 'too many bytes without an event'
        is_granted = self._buffer_lease.add(
            self._splitter.incomplete_event_bytes
        )
        return '' if is_granted else 'too much is buffered'


def _first_event_limit(state: _StreamState, since: float) -> float:
    """Return the loop time from which on a silent attempt may be replaced."""
    if not state.may_run_again:
        return math.inf
    return since + max(
        MIN_STALL_TIMEOUT_S,
        FIRST_EVENT_TIMEOUT_OBJECTIVES * state.context.route.objective_s,
    )


def _event_limit(
    state: _StreamState, attempt: Attempt, progress_at: float
) -> float:
    """Return the loop time from which on a stalled attempt may be replaced."""
    if not (state.may_run_again and attempt.was_answered):
        return _first_event_limit(state, progress_at)
    pause_s = state.context.route.longest_pause_s
    return progress_at + max(
        MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_PAUSES * pause_s
    )


def _next_events(
    events: Iterable[Event], state: _StreamState, *, needs_ids: bool
) -> tuple[list[bytes], bool]:
    """Return the events to send, and whether one is missing after them.

    Events that the caller already received are dropped. If `needs_ids`, one
    without an id can't be placed in the stream.
    """
    ready_bytes = []
    for event in events:
        if event.event_id is None:
            if needs_ids and event.is_message:
                return ready_bytes, True
            ready_bytes.append(event.data)
            state.trace.events += event.is_message
            continue
        increment = _id_increment(state.last_id, event.event_id)
        if increment > 1:
            return ready_bytes, True
        if increment == 1:
            ready_bytes.append(event.data)
            state.last_id = event.event_id
            state.trace.events += 1
    return ready_bytes, False


def _id_increment(last_id: str | None, event_id: str) -> int:
    """Return the difference of the ids, or 1 if they are not numbers."""
    if last_id is None:
        return 1
    try:
        return int(event_id) - int(last_id)
    except ValueError:
        return 1


async def _pass_on(answer: Answer, reply: ServerReply, data: bytes) -> None:
    if answer.is_started:
        await answer.send(data)
    else:
        await answer.begin(reply.status, end_to_end(reply.headers), data)


async def _finish(
    answer: Answer, reply: ServerReply, unsent: bytes, incomplete_event: bytes
) -> None:
    if incomplete_event and _is_event_stream(reply):
        # An end inside an event is a failure, even if the reply ended properly.
        raise ReplyBrokenError('the stream ends inside an event')
    if not answer.is_started:
        await answer.send_whole(
            reply.status, end_to_end(reply.headers), unsent + incomplete_event
        )
        return
    if unsent or incomplete_event:
        await answer.send(unsent + incomplete_event)
    await answer.end()


def _check_has_no_events(reply: ServerReply) -> None:
    """Raise ReplyBrokenError if the reply should have events.

    A server that crashes may also end a reply without a length.
    """
    if _is_event_stream(reply):
        raise ReplyBrokenError('the stream ends before an event')


def _is_event_stream(reply: ServerReply) -> bool:
    return reply.header('Content-Type').lower().startswith(EVENT_STREAM)
