"""Serve completions from the reservation of tokens to the settlement.

Failed attempts are retried on other servers as long as that can't run
non-idempotent work twice; interrupted streams resume there if a server can.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import replace
from functools import partial
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
from oriolegauge.backends.silencelimit import TakeRetry
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
from oriolegauge.daemon.crashguard import CrashGuard, SuspectRefusedError
from oriolegauge.daemon.dispatcher import Dispatcher
from oriolegauge.daemon.lostgrants import LostGrants
from oriolegauge.daemon.slot import PausedError, Slot, SlotRequest

MINIMUM_OUTPUT_TOKENS = 1
MAX_ATTEMPTS = 3
HTTP_OK = 200
# Timeout of a cancel call; engines report the usage of a cancelled stream
# within this time.
CANCEL_TIMEOUT_S = 2.0
SUSPECT_RETRY_DELAY_S = 0.1
STREAM_HEADERS = {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-cache',
}

log = structlog.get_logger()


Attempt = Callable[
    [CompletionRun, Slot, AnswerSink], Awaitable[CompletionOutcome]
]
RetryableAttempt = Callable[
    [TakeRetry, CompletionRun, Slot, AnswerSink], Awaitable[CompletionOutcome]
]


class Completions:
    """Run completion requests from reservation to bill."""

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
        payload = call.json_body()
        body = CompletionBody.parse(
            payload, default_max_tokens=self._default_max_tokens()
        )
        if not _is_allowed(caller, body.model):
            raise ForbiddenError(f'model {body.model} is not allowed')
        self._guard.refuse_quarantined(call.fingerprint)
        self._dispatcher.count_request()
        reservation = await self._grants.reserve(
            budget=caller.budget,
            request_id=caller.request_id,
            tokens=body.max_input_tokens + body.requested_output_tokens,
            minimum=body.max_input_tokens + MINIMUM_OUTPUT_TOKENS,
            deadline=caller.deadline,
        )
        run = self._new_run(caller, call, payload, body, reservation)
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
            if run.paused_job is not None:
                self._dispatcher.drop_paused(run.paused_job)
        settled = await self._settle(run, outcome.usage)
        await _send_end(run, sink, outcome, settled)

    async def _dispatch(
        self, run: CompletionRun, sink: AnswerSink
    ) -> CompletionOutcome:
        if run.body.stream:
            return await self._run_attempts(run, self._stream_attempt, sink)
        return await self._run_hedged(run, sink)

    def _new_run(
        self,
        caller: CallerRequest,
        call: CallerCall,
        payload: dict[str, Any],
        body: CompletionBody,
        reservation: Reservation,
    ) -> CompletionRun:
        max_tokens = reservation.tokens - body.max_input_tokens
        return CompletionRun(
            caller=caller,
            body=body,
            engine_request=EngineRequest(
                request_id=caller.request_id,
                path=call.path,
                body=payload,
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
                allowed_servers=caller.settings.servers,
                prefix_key=f'{caller.team}|{body.prefix_key}',
                fingerprint=call.fingerprint,
            ),
            fingerprint=call.fingerprint,
            started_at=asyncio.get_running_loop().time(),
        )

    async def _run_hedged(
        self, run: CompletionRun, sink: AnswerSink
    ) -> CompletionOutcome:
        """Send a second copy of a slow request; use the first answer.

        Non-idempotent requests are never sent twice.
        """
        first = asyncio.create_task(
            self._run_attempts(run, self._whole_attempt, sink)
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
                            self._run_attempts(run, self._whole_attempt, sink)
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
        self._dispatcher.record_result(
            run.slot_request, usage.output_tokens, seconds
        )
        return await self._budgets.settle(
            run.reservation, usage.total, keyed=run.caller.keyed
        )

    async def _run_attempts(
        self, run: CompletionRun, attempt: RetryableAttempt, sink: AnswerSink
    ) -> CompletionOutcome:
        """Try servers until one gives a complete answer."""
        failures = 0
        refused_servers: set[str] = set()
        while True:
            self._guard.refuse_quarantined(run.fingerprint)
            try:
                take_retry = partial(self._take_retry, run, failures)
                return await self._run_in_slot(
                    run, refused_servers, partial(attempt, take_retry), sink
                )
            except PausedError as error:
                run.paused_job = error.job
            except SuspectRefusedError as error:
                # A suspect runs only on a server without another suspect.
                refused_servers = self._servers_to_avoid(
                    run, refused_servers, error
                )
                await asyncio.sleep(SUSPECT_RETRY_DELAY_S)
            except ServerFailedError as error:
                failures += 1
                self._raise_if_not_repeatable(run, error)
                if failures == MAX_ATTEMPTS:
                    raise
                await self._dispatcher.wait_before_retry(failures, error)

    async def _run_in_slot(
        self,
        run: CompletionRun,
        refused_servers: set[str],
        attempt: Attempt,
        sink: AnswerSink,
    ) -> CompletionOutcome:
        async with self._hold_slot(run, refused_servers) as slot:
            return await self._run_attempt(run, slot, sink, attempt)

    def _hold_slot(
        self, run: CompletionRun, refused_servers: set[str]
    ) -> AbstractAsyncContextManager[Slot]:
        paused = run.paused_job
        run.paused_job = None
        if paused is not None:
            return self._dispatcher.resume(run.slot_request, paused)
        return self._dispatcher.slot(
            run.slot_request,
            exclude=frozenset(run.tried_servers | refused_servers),
            resumes=bool(run.sent_events),
        )

    def _servers_to_avoid(
        self,
        run: CompletionRun,
        refused_servers: set[str],
        error: SuspectRefusedError,
    ) -> set[str]:
        """Return the servers to avoid next, none once all were avoided."""
        known = refused_servers | {error.server}
        everywhere = self._dispatcher.server_names(run.slot_request)
        return set() if everywhere <= known | run.tried_servers else known

    async def _run_attempt(
        self, run: CompletionRun, slot: Slot, sink: AnswerSink, attempt: Attempt
    ) -> CompletionOutcome:
        """Run an attempt; report a crash before the request is sent again."""
        server = slot.server.name
        async with self._guard.track_request(run.fingerprint, server):
            run.tried_servers.add(server)
            try:
                outcome = await attempt(run, slot, sink)
            except ServerConnectionLostError as error:
                if slot.is_paused:
                    run.tried_servers.discard(server)
                    raise PausedError(slot.job) from error
                if not error.timed_out:
                    await self._guard.report_crash(server, slot.started_at)
                raise
        await self._guard.clear_suspect(run.fingerprint)
        return outcome

    def _raise_if_not_repeatable(
        self, run: CompletionRun, error: ServerFailedError
    ) -> None:
        """Raise the caller's error if no other server may run the request."""
        if error.run_state is RunState.NOT_RUN:
            return
        if isinstance(error, ServerRejectedError) and not error.is_server_fault:
            raise InvalidRequestError(
                f'the engine rejected the request with status {error.status}'
            ) from error
        if run.caller.non_idempotent:
            raise OutcomeUnknownError(
                f'connection lost after dispatch: {error.message}'
            ) from error
        if run.sent_events and not self._dispatcher.can_resume(
            run.slot_request, run.tried_servers
        ):
            raise AnswerIncompleteError(
                'no other server can resume the stream', retry_after_s=1
            ) from error

    def _take_retry(self, run: CompletionRun, failures: int) -> float | None:
        """Take a retry that may replace the attempt; return its backoff (s)."""
        attempt = failures + 1
        if run.caller.non_idempotent or attempt == MAX_ATTEMPTS:
            return None
        return self._dispatcher.take_retry(
            run.slot_request,
            run.tried_servers,
            attempt=attempt,
            resumes=bool(run.sent_events),
        )

    async def _whole_attempt(
        self,
        take_retry: TakeRetry,
        run: CompletionRun,
        slot: Slot,
        sink: AnswerSink,
    ) -> CompletionOutcome:
        answer = await self._engines.fetch_completion(
            slot.server, run.engine_request, take_retry
        )
        usage = parse_usage(answer.get('usage', {}))
        slot.succeed(usage.output_tokens)
        return CompletionOutcome(usage, answer=answer)

    async def _stream_attempt(
        self,
        take_retry: TakeRetry,
        run: CompletionRun,
        slot: Slot,
        sink: AnswerSink,
    ) -> CompletionOutcome:
        request = replace(run.engine_request, resume_tokens=run.sent_events)
        async with self._engines.stream(
            slot.server, request, take_retry
        ) as stream:
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
                if sink.is_disconnected:
                    await self._cancel(slot, run)
            tail = stream.tail()
        if stream.usage is None:
            raise ServerConnectionLostError(
                'the engine ended the stream without its usage'
            )
        slot.succeed(stream.events)
        return CompletionOutcome(stream.usage, tail=tail)

    async def _cancel(self, slot: Slot, run: CompletionRun) -> None:
        """Cancel the stream of a caller that disconnected.

        The engine still reports the usage at the end of the stream.
        """
        if slot.cancel_sent:
            return
        slot.cancel_sent = True
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                await self._engines.cancel(slot.server, run.request_id)
        except (ServerFailedError, TimeoutError) as error:
            log.info('engine stream not cancelled', error=str(error))


def _is_allowed(caller: CallerRequest, model: str) -> bool:
    allowed = caller.settings.models
    return '*' in allowed or model in allowed


def _deadline_passed(run: CompletionRun) -> OriolegaugeError:
    if run.tried_servers and run.caller.non_idempotent:
        return OutcomeUnknownError('the deadline passed after dispatch')
    return DeadlineUnreachableError(
        'the deadline passed',
        run_state=RunState.RAN if run.tried_servers else RunState.NOT_RUN,
        retry_after_s=1,
    )


async def _first_success(
    copies: set[asyncio.Task[CompletionOutcome]],
) -> CompletionOutcome:
    """Return the first answer; raise the last error if all copies fail."""
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
