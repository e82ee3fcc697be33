"""Serve completions: reserve, dispatch, relay, settle."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import replace
from typing import Any

import orjson
import structlog

from oriolegauge.admission import DeadlineUnreachableError
from oriolegauge.backends import (
    EngineClient,
    EngineRequest,
    ServerConnectionLostError,
    ServerRejectedError,
    Usage,
)
from oriolegauge.backends.enginestream import parse_usage
from oriolegauge.budget import BudgetManager, Reservation, Settled
from oriolegauge.core.errors import (
    AnswerIncompleteError,
    ForbiddenError,
    InvalidRequestError,
    OriolegaugeError,
    OutcomeUnknownError,
    ServerFailedError,
)
from oriolegauge.core.runstate import RunState
from oriolegauge.daemon.answersink import AnswerSink
from oriolegauge.daemon.bill import bill_fields, bill_headers, final_events
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.daemon.callerrequest import CallerRequest
from oriolegauge.daemon.completionbody import CompletionBody
from oriolegauge.daemon.completionoutcome import CompletionOutcome
from oriolegauge.daemon.completionrun import CompletionRun
from oriolegauge.daemon.crashguard import CrashGuard, CrowdedError
from oriolegauge.daemon.dispatcher import Dispatcher
from oriolegauge.daemon.lostgrants import LostGrants
from oriolegauge.daemon.slot import PausedError, Slot, SlotRequest

MINIMUM_OUTPUT_TOKENS = 1
MAX_ATTEMPTS = 3
HTTP_OK = 200
# An engine reports the usage of a cancelled stream within this time.
CANCEL_GRACE_S = 2.0
SUSPECT_WAIT_S = 0.1
STREAM_HEADERS = {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-cache',
}

log = structlog.get_logger()


Attempt = Callable[
    [CompletionRun, Slot, AnswerSink], Awaitable[CompletionOutcome]
]


class Completions:
    """Run one completion request from reservation to bill."""

    def __init__(
        self,
        *,
        budgets: BudgetManager,
        grants: LostGrants,
        engines: EngineClient,
        dispatcher: Dispatcher,
        guard: CrashGuard,
        default_max_tokens: Callable[[], int],
    ) -> None:
        """Use the given parts of the daemon."""
        self._budgets = budgets
        self._grants = grants
        self._engines = engines
        self._dispatcher = dispatcher
        self._guard = guard
        self._default_max_tokens = default_max_tokens

    async def serve(
        self, sink: AnswerSink, caller: CallerRequest, call: CallerCall
    ) -> None:
        """Write the answer with its bill to the sink."""
        tree = call.json_body()
        body = CompletionBody.parse(
            tree, default_max_tokens=self._default_max_tokens()
        )
        if not _is_allowed(caller, body.model):
            raise ForbiddenError(f'model {body.model} is not allowed')
        self._guard.check(call.fingerprint)
        self._dispatcher.begin()
        reservation = await self._grants.reserve(
            budget=caller.budget,
            request_id=caller.request_id,
            tokens=body.input_bound + body.wanted_output,
            minimum=body.input_bound + MINIMUM_OUTPUT_TOKENS,
            deadline=caller.deadline,
        )
        run = self._new_run(caller, call, tree, body, reservation)
        try:
            async with asyncio.timeout_at(caller.deadline):
                outcome = await self._dispatch(run, sink)
        except TimeoutError as error:
            self._budgets.release(reservation)
            raise _deadline_passed(run) from error
        except BaseException:
            self._budgets.release(reservation)
            raise
        finally:
            if run.paused is not None:
                self._dispatcher.forget(run.paused)
        settled = await self._settle(run, outcome.usage)
        await _send_end(run, sink, outcome, settled)

    async def _dispatch(
        self, run: CompletionRun, sink: AnswerSink
    ) -> CompletionOutcome:
        if run.body.stream:
            return await self._attempts(run, self._stream_attempt, sink)
        return await self._hedged(run, sink)

    def _new_run(
        self,
        caller: CallerRequest,
        call: CallerCall,
        tree: dict[str, Any],
        body: CompletionBody,
        reservation: Reservation,
    ) -> CompletionRun:
        max_tokens = reservation.tokens - body.input_bound
        return CompletionRun(
            caller=caller,
            body=body,
            request=EngineRequest(
                request_id=caller.request_id,
                path=call.path,
                body=tree,
                max_tokens=max_tokens,
                priority=caller.priority,
            ),
            reservation=reservation,
            slot_request=SlotRequest(
                request_id=caller.request_id,
                team=caller.team,
                priority=caller.priority,
                model=body.model,
                max_tokens=max_tokens,
                deadline=caller.deadline,
                allowed=caller.settings.servers,
                prefix_key=f'{caller.team}|{body.prefix_key}',
                fingerprint=call.fingerprint,
            ),
            fingerprint=call.fingerprint,
            started_at=asyncio.get_running_loop().time(),
        )

    async def _hedged(
        self, run: CompletionRun, sink: AnswerSink
    ) -> CompletionOutcome:
        """Send a second copy of late idempotent work; the first answer wins."""
        first = asyncio.create_task(
            self._attempts(run, self._whole_attempt, sink)
        )
        copies = {first}
        try:
            delay = self._dispatcher.hedge_delay(
                idempotent=not run.caller.non_idempotent
            )
            if delay is not None:
                await asyncio.wait(copies, timeout=delay)
                if not first.done() and self._dispatcher.spend_hedge():
                    copies.add(
                        asyncio.create_task(
                            self._attempts(run, self._whole_attempt, sink)
                        )
                    )
            return await _first_success(copies)
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)

    async def _settle(self, run: CompletionRun, usage: Usage) -> Settled:
        if usage.total > run.reservation.tokens:
            log.warning(
                'engine used more tokens than reserved',
                request_id=run.caller.request_id,
                used=usage.total,
                reserved=run.reservation.tokens,
            )
        seconds = asyncio.get_running_loop().time() - run.started_at
        self._dispatcher.learn(run.slot_request, usage.output_tokens, seconds)
        return await self._budgets.settle(
            run.reservation, usage.total, keyed=run.caller.keyed
        )

    async def _attempts(
        self, run: CompletionRun, attempt: Attempt, sink: AnswerSink
    ) -> CompletionOutcome:
        """Try servers until one gives the whole answer."""
        number = 0
        crowded: set[str] = set()
        while True:
            self._guard.check(run.fingerprint)
            try:
                return await self._in_slot(run, crowded, attempt, sink)
            except PausedError as error:
                run.paused = error.job
            except CrowdedError as error:
                # A suspect waits for a server without another suspect.
                crowded = self._next_crowded(run, crowded, error)
                await asyncio.sleep(SUSPECT_WAIT_S)
            except ServerFailedError as error:
                number += 1
                self._check_repeatable(run, error)
                if number == MAX_ATTEMPTS:
                    raise
                await self._dispatcher.before_retry(number, error)

    async def _in_slot(
        self,
        run: CompletionRun,
        crowded: set[str],
        attempt: Attempt,
        sink: AnswerSink,
    ) -> CompletionOutcome:
        async with self._slot(run, crowded) as slot:
            return await self._guarded(run, slot, sink, attempt)

    def _slot(
        self, run: CompletionRun, crowded: set[str]
    ) -> AbstractAsyncContextManager[Slot]:
        paused = run.paused
        run.paused = None
        if paused is not None:
            return self._dispatcher.resume(run.slot_request, paused)
        return self._dispatcher.slot(
            run.slot_request, exclude=frozenset(run.tried | crowded)
        )

    def _next_crowded(
        self, run: CompletionRun, crowded: set[str], error: CrowdedError
    ) -> set[str]:
        """Return the servers to avoid next; all of them come round again."""
        known = crowded | {error.server}
        everywhere = self._dispatcher.server_names(run.slot_request)
        return set() if everywhere <= known | run.tried else known

    async def _guarded(
        self, run: CompletionRun, slot: Slot, sink: AnswerSink, attempt: Attempt
    ) -> CompletionOutcome:
        """Run an attempt; report a crash before anything is sent again."""
        server = slot.server.name
        async with self._guard.running(run.fingerprint, server):
            run.tried.add(server)
            try:
                outcome = await attempt(run, slot, sink)
            except ServerConnectionLostError as error:
                if slot.paused:
                    run.tried.discard(server)
                    raise PausedError(slot.job) from error
                if not error.timed_out:
                    await self._guard.crashed(server, slot.started_at)
                raise
        await self._guard.succeeded(run.fingerprint)
        return outcome

    def _check_repeatable(
        self, run: CompletionRun, error: ServerFailedError
    ) -> None:
        """Raise what the caller gets if no other server may try."""
        if error.run_state is RunState.NOT_RUN:
            return
        if isinstance(error, ServerRejectedError) and not error.is_server_fault:
            raise InvalidRequestError(
                f'the engine rejected the request with {error.status}'
            ) from error
        if run.caller.non_idempotent:
            raise OutcomeUnknownError(
                f'connection lost after dispatch: {error.message}'
            ) from error
        if run.sent_events and not self._dispatcher.can_resume(
            run.slot_request, run.tried
        ):
            raise AnswerIncompleteError(
                'no other server can resume the stream', retry_after_s=1
            ) from error

    async def _whole_attempt(
        self, run: CompletionRun, slot: Slot, sink: AnswerSink
    ) -> CompletionOutcome:
        answer = await self._engines.fetch_completion(slot.server, run.request)
        usage = parse_usage(answer.get('usage', {}))
        slot.succeed(usage.output_tokens)
        return CompletionOutcome(usage, answer=answer)

    async def _stream_attempt(
        self, run: CompletionRun, slot: Slot, sink: AnswerSink
    ) -> CompletionOutcome:
        request = replace(run.request, resume_tokens=run.sent_events)
        async with self._engines.stream(slot.server, request) as stream:
            if not sink.started:
                await sink.start(
                    HTTP_OK,
                    {**STREAM_HEADERS, 'X-Request-Id': run.caller.request_id},
                )
            before = run.sent_events
            if not run.caller.non_idempotent:
                slot.allow_pause(stream.close)
            async for events in stream.events_before_tail():
                await sink.write(events)
                run.sent_events = before + stream.events
                slot.progress(stream.events)
                if sink.gone:
                    await self._cancel(slot, run)
            tail = stream.tail()
        if stream.usage is None:
            raise ServerConnectionLostError('the engine reported no usage')
        slot.succeed(stream.events)
        return CompletionOutcome(stream.usage, tail=tail)

    async def _cancel(self, slot: Slot, run: CompletionRun) -> None:
        """End a stream that nobody reads; its usage still arrives."""
        if slot.cancel_sent:
            return
        slot.cancel_sent = True
        try:
            async with asyncio.timeout(CANCEL_GRACE_S):
                await self._engines.cancel(slot.server, run.request_id)
        except (ServerFailedError, TimeoutError) as error:
            log.info('cancel failed', error=str(error))


def _is_allowed(caller: CallerRequest, model: str) -> bool:
    allowed = caller.settings.models
    return '*' in allowed or model in allowed


def _deadline_passed(run: CompletionRun) -> OriolegaugeError:
    if run.tried and run.caller.non_idempotent:
        return OutcomeUnknownError('the deadline passed after dispatch')
    return DeadlineUnreachableError(
        'the deadline passed',
        run_state=RunState.RAN if run.tried else RunState.NOT_RUN,
        retry_after_s=1,
    )


async def _first_success(
    copies: set[asyncio.Task[CompletionOutcome]],
) -> CompletionOutcome:
    """Return the first answer; raise the last failure if all copies fail."""
    pending = copies
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for copy in done:
            if copy.exception() is None or not pending:
                return copy.result()


async def _send_end(
    run: CompletionRun,
    sink: AnswerSink,
    outcome: CompletionOutcome,
    settled: Settled,
) -> None:
    bill = bill_fields(run.request_id, settled, output_cap=run.output_cap)
    if outcome.answer is None:
        await sink.write(
            final_events(outcome.tail, bill, with_usage=run.body.with_usage)
        )
    else:
        headers = bill_headers(
            run.request_id, settled, output_cap=run.output_cap
        )
        headers['Content-Type'] = 'application/json'
        await sink.start(HTTP_OK, headers)
        await sink.write(orjson.dumps({**outcome.answer, 'oriolegauge': bill}))
    await sink.finish()
