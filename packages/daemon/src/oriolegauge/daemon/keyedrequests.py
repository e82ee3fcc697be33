"""Run each request with an idempotency key once and replay its answer.

A retry of a running request joins it. A non-idempotent request is claimed in
the intent log before it is dispatched, so that no retry runs it again, even
on another daemon after a crash.
"""

import time
from collections.abc import Awaitable, Callable

import structlog

from oriolegauge.admission import DeadlineUnreachableError
from oriolegauge.core.errors import OriolegaugeError, OutcomeUnknownError
from oriolegauge.core.runstate import RunState
from oriolegauge.core.taskset import TaskSet
from oriolegauge.daemon.answersink import AnswerSink
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.daemon.callerrequest import CallerRequest
from oriolegauge.daemon.recordsink import RecordSink, replay
from oriolegauge.ledger import (
    AlreadyClaimed,
    AnswerExpiredError,
    AnswerRecord,
    IntentLog,
    NotRun,
    Opened,
    Ran,
    RequestLedger,
    Unresolved,
)

Serve = Callable[[AnswerSink, CallerRequest, CallerCall], Awaitable[None]]

log = structlog.get_logger()


class AlreadyDispatchedError(OutcomeUnknownError):
    """Report that another attempt has dispatched the request."""


class KeyedRequests:
    """Join retries to running requests; claim non-idempotent requests."""

    def __init__(
        self,
        *,
        ledger: RequestLedger,
        intents: IntentLog,
        serve: Serve,
        clock: Callable[[], float],
    ) -> None:
        """Run requests with `serve`; `clock` is in seconds."""
        self._ledger = ledger
        self._intents = intents
        self._serve = serve
        self._clock = clock
        self._tasks = TaskSet()

    @property
    def running(self) -> int:
        """Return the number of running keyed requests."""
        return len(self._tasks)

    async def serve(
        self,
        sink: AnswerSink,
        caller: CallerRequest,
        call: CallerCall,
        *,
        non_idempotent: bool,
    ) -> None:
        """Copy the answer of the request to the sink.

        The request continues if the caller disconnects.
        """
        opened = self._ledger.open(
            caller.request_id, call.fingerprint, self._clock()
        )
        record = opened.record
        if isinstance(opened, Opened):
            self._tasks.spawn(
                self._run(record, caller, call, non_idempotent=non_idempotent)
            )
        await replay(record, sink)

    async def _run(
        self,
        record: AnswerRecord,
        caller: CallerRequest,
        call: CallerCall,
        *,
        non_idempotent: bool,
    ) -> None:
        sink = RecordSink(record, self._clock)
        try:
            if non_idempotent:
                await self._run_once(record, sink, caller, call)
            else:
                await self._serve(sink, caller, call)
        except OriolegaugeError as error:
            # The outcome of another attempt may become known later, so a retry
            # looks it up again; it never dispatches a second time.
            is_looked_up = isinstance(error, AlreadyDispatchedError)
            allows_rerun = True if is_looked_up or not non_idempotent else None
            record.fail(error, self._clock(), allows_rerun=allows_rerun)
        except Exception as error:
            log.exception(
                'request failed unexpectedly', request_id=caller.request_id
            )
            failure = OriolegaugeError(
                f'internal error: {type(error).__name__}',
                run_state=RunState.UNKNOWN,
            )
            record.fail(failure, self._clock(), allows_rerun=not non_idempotent)

    async def _run_once(
        self,
        record: AnswerRecord,
        sink: RecordSink,
        caller: CallerRequest,
        call: CallerCall,
    ) -> None:
        claimed = await self._intents.claim(caller.request_id, call.fingerprint)
        if isinstance(claimed, AlreadyClaimed):
            raise claimed_error(claimed)
        if time.time() >= claimed.dispatch_by:
            await self._intents.record(caller.request_id, NotRun())
            raise DeadlineUnreachableError(
                'the claim was stored too late to dispatch the request'
            )
        outcome: Ran | NotRun | Unresolved = Unresolved()
        try:
            await self._serve(sink, caller, call)
            outcome = Ran(record.status or 0)
        except OriolegaugeError as error:
            outcome = _outcome(error)
            raise
        finally:
            await self._intents.record(caller.request_id, outcome)


def claimed_error(claimed: AlreadyClaimed) -> OriolegaugeError:
    """Return the error for a request that another attempt has claimed."""
    if claimed.state is RunState.RAN:
        return AnswerExpiredError(
            f'the request ran and was answered with {claimed.code}'
        )
    return AlreadyDispatchedError(
        'another attempt was dispatched and has not reported its outcome'
    )


def _outcome(error: OriolegaugeError) -> Ran | NotRun | Unresolved:
    match error.run_state:
        case RunState.NOT_RUN:
            return NotRun()
        case RunState.RAN:
            return Ran(int(error.code))
        case _:
            return Unresolved()
