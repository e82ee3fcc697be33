"""Streams of events, passed on as they arrive and resumed if they break."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from oriolegauge.core.bytebudget import ByteLease
from oriolegauge.core.errors import (
    NoServerError,
    OutcomeUnknownError,
    ServerFailedError,
)
from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.dispatcher import FIRST_SERVER_ERROR, Attempt
from oriolegauge.forwarding.errors import ReplyBrokenError
from oriolegauge.forwarding.eventsplitter import Event, EventSplitter
from oriolegauge.forwarding.exchange import ExchangeParts, Serving
from oriolegauge.forwarding.headers import end_to_end
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.forwarding.serversignals import MISDIRECTED
from oriolegauge.forwarding.streamprogress import StreamProgress
from oriolegauge.forwarding.wholeexchange import (
    PROMISES,
    is_genuine,
    read_body,
)

LAST_EVENT_ID = 'Last-Event-Id'
EVENT_STREAM = 'text/event-stream'
# A resumable stream is moved after a silence of this multiple of the longest
# pause, but no sooner than MIN_SILENCE_S: engines preempt requests for a while.
SILENCE_PAUSES = 4.0
MIN_SILENCE_S = 1.2
# The same before the first event, as a multiple of the objective.
FIRST_EVENT_OBJECTIVES = 2.5


@dataclass(slots=True)
class _StreamServing(Serving):
    """Keep the last event that the caller has got over all sends."""

    last_id: str | None = None


class StreamExchange:
    """Answer streaming requests within one answer to the caller."""

    def __init__(self, parts: ExchangeParts) -> None:
        """Send requests by the parts."""
        self._parts = parts

    async def serve(
        self, context: RequestContext, trace: RequestTrace, answer: Answer
    ) -> None:
        """Answer the request; raise an OriolegaugeError if none is had."""
        last_id = context.request.header(LAST_EVENT_ID) or None
        with self._parts.buffers.lease() as held:
            serving = _StreamServing(
                context, trace, answer, held, last_id=last_id
            )
            while not await self._attempt(serving):
                """The stream goes on at another server."""

    async def _attempt(self, serving: _StreamServing) -> bool:
        """Return whether the answer is finished."""
        attempt = await self._send(serving)
        serving.sends += 1
        serving.excluded.add(attempt.server.instance)
        try:
            return await self._exchange(serving, attempt)
        except ReplyBrokenError as error:
            attempt.ok = False
            serving.has_run = True
            serving.trace.note(attempt.server.instance, error.message)
            if self._may_repeat(serving):
                return False
            if self._parts.clock() >= serving.context.deadline:
                raise OutcomeUnknownError(error.message) from error
            raise ServerFailedError(error.message) from error
        finally:
            self._parts.dispatcher.close(attempt)

    async def _send(self, serving: _StreamServing) -> Attempt:
        extra = []
        if serving.last_id is not None:
            extra.append((LAST_EVENT_ID, serving.last_id))
        try:
            return await self._parts.dispatcher.send(
                serving.context,
                serving.trace,
                excluded=serving.excluded,
                extra=extra,
            )
        except NoServerError as error:
            if serving.has_run:
                raise ServerFailedError(error.message) from error
            raise

    async def _exchange(
        self, serving: _StreamServing, attempt: Attempt
    ) -> bool:
        """Return whether the answer is finished."""
        reply = await self._parts.dispatcher.head(
            attempt, self._patience(serving, self._parts.clock())
        )
        if not reply.is_success:
            return await self._fail(serving, attempt, reply)
        if not is_genuine(reply, self._parts.names):
            raise ReplyBrokenError('a success without a signature')
        serving.has_run = True
        with self._parts.buffers.lease() as held:
            await self._relay(serving, attempt, reply, held)
        serving.trace.note(attempt.server.instance, 'whole')
        serving.trace.outcome = 'answered'
        return True

    async def _relay(
        self,
        serving: _StreamServing,
        attempt: Attempt,
        reply: ServerReply,
        held: ByteLease,
    ) -> None:
        answer = serving.answer
        feed = _Feed(serving, held, self._parts.clock())
        while True:
            part = await self._read(serving, attempt, feed.progress_at)
            if part is None:
                break
            now = self._parts.clock()
            found = feed.add(part, now)
            if found.has_message:
                self._parts.dispatcher.answered(attempt)
                received_at = serving.context.request.received_at
                serving.trace.note_event(now, received_at)
            if found.passed:
                await _pass_on(answer, reply, found.passed)
            if found.fault:
                raise ReplyBrokenError(found.fault)
        await _finish(answer, reply, feed.waiting, feed.rest)

    async def _read(
        self, serving: _StreamServing, attempt: Attempt, progress_at: float
    ) -> bytes | None:
        until = serving.context.deadline
        if not attempt.was_answered:
            until = self._patience(serving, progress_at)
        elif self._can_move(serving):
            pause_s = serving.context.route.longest_pause_s
            silence = max(MIN_SILENCE_S, SILENCE_PAUSES * pause_s)
            until = min(until, progress_at + silence)
        try:
            async with asyncio.timeout_at(until):
                return await attempt.connection.read()
        except TimeoutError:
            raise ReplyBrokenError('no event in time') from None

    async def _fail(
        self, serving: _StreamServing, attempt: Attempt, reply: ServerReply
    ) -> bool:
        answer, trace = serving.answer, serving.trace
        body = await self._body(serving, attempt)
        self._parts.dispatcher.judge(attempt, reply)
        trace.note(attempt.server.instance, str(reply.status))
        is_misdirected = reply.status == MISDIRECTED
        if is_misdirected or reply.header(self._parts.names.not_run):
            serving.sends -= is_misdirected
            trace.may_have_run = serving.has_run
            if self._parts.may_send_again(serving):
                return False
            if serving.has_run:
                raise ServerFailedError('the stream can not be resumed')
            raise self._parts.dispatcher.rejection(serving.context.service)
        serving.has_run = True
        is_failure = reply.status >= FIRST_SERVER_ERROR
        if is_failure and self._may_repeat(serving):
            return False
        if answer.is_started or reply.status in PROMISES:
            raise ServerFailedError(f'the server answered {reply.status}')
        trace.outcome = 'failed'
        await answer.whole(reply.status, end_to_end(reply.headers), body)
        return True

    async def _body(self, serving: _StreamServing, attempt: Attempt) -> bytes:
        until = self._patience(serving, self._parts.clock())
        return await read_body(attempt.connection, until, serving.held)

    def _patience(self, serving: _StreamServing, since: float) -> float:
        """Return until when to wait for the first event."""
        context = serving.context
        if not self._can_move(serving):
            return context.deadline
        wait = max(
            MIN_SILENCE_S, FIRST_EVENT_OBJECTIVES * context.route.objective_s
        )
        return min(context.deadline, since + wait)

    def _can_move(self, serving: _StreamServing) -> bool:
        is_resumable = serving.context.route.is_resumable
        return is_resumable and self._parts.has_server(serving)

    def _may_repeat(self, serving: _StreamServing) -> bool:
        is_resumable = serving.context.route.is_resumable
        return is_resumable and self._parts.may_send_again(serving)


@dataclass(frozen=True, slots=True)
class _Found:
    """Hold what to pass on, and what is wrong after it, if anything is."""

    passed: bytes
    has_message: bool
    fault: str


class _Feed:
    """Turn the bytes of one server into what the caller gets next."""

    def __init__(
        self, serving: _StreamServing, held: ByteLease, now: float
    ) -> None:
        self._serving = serving
        self._held = held
        self._splitter = EventSplitter()
        self._progress = StreamProgress(now)
        # Comments in front of the first event begin no answer.
        self._waiting: list[bytes] = []

    @property
    def progress_at(self) -> float:
        return self._progress.progress_at

    @property
    def waiting(self) -> bytes:
        return b''.join(self._waiting)

    @property
    def rest(self) -> bytes:
        return self._splitter.rest

    def add(self, part: bytes, now: float) -> _Found:
        already = self._serving.trace.events
        events, is_gap = _next_events(self._splitter.feed(part), self._serving)
        self._waiting += events
        has_message = self._serving.trace.events > already
        self._note_progress(len(part), has_message, now)
        passed = b''
        if self._serving.trace.events:
            passed = self.waiting
            self._waiting = []
        fault = 'an event is missing' if is_gap else self._overflow()
        return _Found(passed, has_message, fault)

    def _note_progress(
        self, received: int, has_message: bool, now: float
    ) -> None:
        splitter = self._splitter
        in_event = 0 if splitter.is_in_comment else splitter.rest_bytes
        self._progress.note_bytes(received, in_event=in_event, now=now)
        if has_message:
            self._progress.note_event(now)

    def _overflow(self) -> str:
        self._held.release()
        if self._progress.is_overlong or self._splitter.is_flooded:
            return 'too many bytes without an event'
        is_granted = self._held.add(self._splitter.rest_bytes)
        return '' if is_granted else 'too much is buffered'


def _next_events(
    events: Iterable[Event], serving: _StreamServing
) -> tuple[list[bytes], bool]:
    """Return the events to pass on, and whether one is missing after them.

    Events that the caller already has are dropped.
    """
    passed = []
    for event in events:
        if event.event_id is None:
            passed.append(event.data)
            serving.trace.events += event.is_message
            continue
        step = _step(serving.last_id, event.event_id)
        if step > 1:
            return passed, True
        if step == 1:
            passed.append(event.data)
            serving.last_id = event.event_id
            serving.trace.events += 1
    return passed, False


def _step(last_id: str | None, event_id: str) -> int:
    """Return by how much the id has risen; ids that aren't numbers by 1."""
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
    answer: Answer, reply: ServerReply, waiting: bytes, rest: bytes
) -> None:
    if rest and _is_event_stream(reply):
        # What ends inside an event has broken off, however it ended.
        raise ReplyBrokenError('the stream ends inside an event')
    if not answer.is_started:
        await answer.whole(
            reply.status, end_to_end(reply.headers), waiting + rest
        )
        return
    if waiting or rest:
        await answer.send(waiting + rest)
    await answer.end()


def _is_event_stream(reply: ServerReply) -> bool:
    return reply.header('Content-Type').lower().startswith(EVENT_STREAM)
