"""Run each keyed request once and replay its answer to retries."""

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
    """Report that another attempt holds the one dispatch."""


class KeyedRequests:
    """Join retries to running requests and claim non-idempotent ones."""

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
        """Return the number of running requests."""
        return len(self._tasks)

    async def serve(
        self,
        sink: AnswerSink,
        caller: CallerRequest,
        call: CallerCall,
        *,
        non_idempotent: bool,
    ) -> None:
        """Copy the one answer of the request to the sink.

        The request goes on if the caller leaves.
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
            # An unknown outcome of another attempt may become known later,
            # so a retry asks again; it never dispatches a second time.
            asks_again = isinstance(error, AlreadyDispatchedError)
            allows_rerun = True if asks_again or not non_idempotent else None
            record.fail(error, self._clock(), allows_rerun=allows_rerun)
        except Exception as error:
            log.exception('request crashed', request_id=caller.request_id)
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
            raise already_claimed(claimed)
        if time.time() >= claimed.dispatch_by:
            await self._intents.record(caller.request_id, NotRun())
            raise DeadlineUnreachableError('the claim is too old to dispatch')
        outcome: Ran | NotRun | Unresolved = Unresolved()
        try:
            await self._serve(sink, caller, call)
            outcome = Ran(record.status or 0)
        except OriolegaugeError as error:
            outcome = _outcome(error)
            raise
        finally:
            await self._intents.record(caller.request_id, outcome)


def already_claimed(claimed: AlreadyClaimed) -> OriolegaugeError:
    """Return the error for a request that another attempt has claimed."""
    if claimed.state is RunState.RAN:
        return AnswerExpiredError(f'it ran and answered {claimed.code}')
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
