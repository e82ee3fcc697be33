"""Admit, bill and log requests that are routed to backend servers."""

import asyncio
import contextlib
import math
import random
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import asdict, dataclass, replace
from typing import Any, Protocol

import structlog

from oriolegauge.admission import HostLink, LoadGate
from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.core.errors import (
    DrainingError,
    InvalidRequestError,
    NoServerError,
    NotFoundError,
    OriolegaugeError,
    OutcomeUnknownError,
    StartingError,
    UnauthenticatedError,
)
from oriolegauge.core.runstate import RunState
from oriolegauge.forwarding.admissiongate import AdmissionGate
from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.callerconnection import STOPPING_RETRY_AFTER_S
from oriolegauge.forwarding.callerrequest import CallerRequest
from oriolegauge.forwarding.dispatcher import (
    MS_PER_S,
    Dispatcher,
    FleetLoads,
)
from oriolegauge.forwarding.drainplan import DrainPlan
from oriolegauge.forwarding.errors import CallerDisconnectedError
from oriolegauge.forwarding.exchange import ExchangeDependencies
from oriolegauge.forwarding.explainedrequest import explained_request
from oriolegauge.forwarding.forwardingconfig import Workspace
from oriolegauge.forwarding.forwardmetrics import ForwardMetrics
from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.peerrelay import PeerRelay
from oriolegauge.forwarding.refusal import refuse, status_of
from oriolegauge.forwarding.requestcontext import (
    RequestContext,
    RequestTrace,
    parse_work,
)
from oriolegauge.forwarding.requestretries import RequestRetries
from oriolegauge.forwarding.route import Route
from oriolegauge.forwarding.routetable import RouteTable
from oriolegauge.forwarding.streamexchange import StreamExchange
from oriolegauge.forwarding.streamversions import StreamVersions
from oriolegauge.forwarding.wholeexchange import WholeExchange
from oriolegauge.grants import Reservation
from oriolegauge.routing.retrybudgets import RetryBudgets
from oriolegauge.routing.work import Work

STARTING_RETRY_AFTER_S = 0.5
# If the tokens per event of a service are unknown, an event is billed as the
# largest possible stream; the request's output bound still caps the bill.
UNKNOWN_TOKENS_PER_EVENT = 1_000_000

log = structlog.get_logger()


class TokenBudget(Protocol):
    """Reserve prepaid tokens before a request runs and settle them after."""

    async def reserve(
        self, team: str, tokens: int, until: float
    ) -> Reservation | None:
        """Reserve tokens; raise an OriolegaugeError if too few are left.

        Wait until the loop time `until` at most.
        """

    def settle(self, reservation: Reservation, used: int) -> None:
        """Charge the used tokens and release the rest."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StateVersions:
    """Hold the versions and ages (s) of the state behind a decision."""

    config_version: int
    servers_revision: int
    store_age_s: float


class Forwarder:
    """Handle the requests of all caller connections."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        dispatcher: Dispatcher,
        budget: TokenBudget,
        buffers: ByteBudget,
        link: HostLink,
        metrics: ForwardMetrics,
        state_versions: Callable[[], StateVersions],
        retries: RetryBudgets,
        versions: StreamVersions,
        rng: random.Random,
    ) -> None:
        """Serve with the dependencies.

        `buffers` bounds the bytes of servers' replies that are held in memory.
        """
        self._gate: AdmissionGate | None = None
        self._relay: PeerRelay | None = None
        self._names = names
        self._budget = budget
        self._link = link
        self._metrics = metrics
        self._state_versions = state_versions
        self._retries = retries
        self._versions = versions
        self._rng = rng
        self._clock = asyncio.get_running_loop().time
        self._route_table: RouteTable | None = None
        self._drain_plan: DrainPlan | None = None
        self._drain_timeouts: set[asyncio.Timeout] = set()
        self._dispatcher = dispatcher
        dependencies = ExchangeDependencies(
            dispatcher=dispatcher,
            names=names,
            retries=RequestRetries(
                credit=retries,
                has_server=dispatcher.has_server,
                clock=self._clock,
            ),
            versions=versions,
            buffers=buffers,
            clock=self._clock,
        )
        self._whole = WholeExchange(dependencies)
        self._streams = StreamExchange(dependencies)
        self.running = 0

    @property
    def route_table(self) -> RouteTable | None:
        """Return the routes of the configuration in force, if it is known."""
        return self._route_table

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot of a server."""
        return self._gate.waiting if self._gate else 0

    def adapt_to_load(
        self,
        *,
        loads: FleetLoads,
        members: Callable[[], int],
        max_bytes: int,
    ) -> None:
        """Delay or refuse requests while slots of servers are short.

        `members` returns the number of daemons; bodies of waiting requests have
        `max_bytes` together.
        """
        self._gate = AdmissionGate(
            gate=LoadGate(rng=self._rng, members=members, max_bytes=max_bytes),
            dispatcher=self._dispatcher,
            loads=loads,
            metrics=self._metrics,
            rng=self._rng,
        )

    def relay_by(self, relay: PeerRelay) -> None:
        """Send requests through peers while no server can be reached."""
        self._relay = relay

    def set_route_table(self, route_table: RouteTable) -> None:
        """Apply a version of the configuration to new requests."""
        self._route_table = route_table

    def drain(self, plan: DrainPlan) -> None:
        """Refuse and give up requests by the times of the plan."""
        self._drain_plan = plan
        for timeout in self._drain_timeouts:
            timeout.reschedule(plan.answers_until)

    def explain(self, query: Mapping[str, str], key: str) -> dict[str, Any]:
        """Return where a request would go now and why; send nothing.

        `query` and the caller key describe it as in `explained_request`.
        """
        request = explained_request(
            query, key, names=self._names, now=self._clock()
        )
        try:
            context = self._admit(request, '')
            self._check_drain(context)
        except OriolegaugeError as error:
            return {'refused': error.message, 'status': status_of(error)}
        chosen, costs = self._dispatcher.explain(context)
        return {
            'route': context.route.name,
            'service': context.service,
            'team': context.workspace,
            'priority': context.priority,
            'objective_s': context.route.objective_s,
            'left_s': _rounded(context.deadline - self._clock()),
            'state': asdict(self._state_versions()),
            'gate': self._gate.explain(context) if self._gate else None,
            'server': chosen,
            'servers': [asdict(cost) for cost in costs],
        }

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer the request; bind its id to the log events meanwhile."""
        await self._handle(request, answer, is_relayed=False)

    async def handle_relayed(
        self, request: CallerRequest, answer: Answer
    ) -> None:
        """Answer a request that another daemon has sent here."""
        await self._handle(request, answer, is_relayed=True)

    async def _handle(
        self, request: CallerRequest, answer: Answer, *, is_relayed: bool
    ) -> None:
        request_id = request.header(self._names.request_id)
        with structlog.contextvars.bound_contextvars(request_id=request_id):
            await self._answer(
                request, request_id, answer, is_relayed=is_relayed
            )

    async def _answer(
        self,
        request: CallerRequest,
        request_id: str,
        answer: Answer,
        *,
        is_relayed: bool,
    ) -> None:
        trace = RequestTrace()
        context: RequestContext | None = None
        self.running += 1
        try:
            context = replace(
                self._admit(request, request_id), is_relayed=is_relayed
            )
            self._check_drain(context)
            await self._serve_until_stop(context, trace, answer)
        except CallerDisconnectedError as error:
            trace.outcome = 'caller left'
            trace.reason = error.message
        except asyncio.CancelledError:
            trace.outcome = 'caller left'
            raise
        except OriolegaugeError as error:
            await self._refuse(request_id, trace, answer, error)
        finally:
            self.running -= 1
            self._report(request, context, trace, answer)

    def _admit(self, request: CallerRequest, request_id: str) -> RequestContext:
        route_table = self._route_table
        if route_table is None:
            raise StartingError(
                'no configuration is known yet',
                retry_after_s=STARTING_RETRY_AFTER_S,
            )
        path = request.target.decode('latin-1')
        route = route_table.match(request.header('Host'), path)
        if route is None:
            raise NotFoundError('no route matches')
        workspace = self._authenticate(route_table, route, request)
        service = self._pick_service(route_table, route, request, request_id)
        service_config = route_table.service(service)
        caller_deadline = self._caller_deadline(request)
        priority = route.priority
        if workspace and workspace.priority is not None:
            priority = workspace.priority
        return RequestContext(
            request=request,
            request_id=request_id,
            route=route,
            service=service,
            workspace=workspace.name if workspace else None,
            priority=priority,
            deadline=min(
                request.received_at + route.timeout_s, caller_deadline
            ),
            caller_deadline=caller_deadline,
            work=self._work(request, route),
            tokens_per_event=(
                service_config and service_config.tokens_per_event
            )
            or UNKNOWN_TOKENS_PER_EVENT,
        )

    def _pick_service(
        self,
        route_table: RouteTable,
        route: Route,
        request: CallerRequest,
        request_id: str,
    ) -> str:
        """Choose by weight, for a stream taken up the service that began it."""
        if not route.is_resumable or len(route.services) == 1:
            return route_table.pick_service(route, self._rng)
        attempt = request.header(self._names.resumes) or request_id
        began = self._versions.service_of(attempt)
        if any(entry.service == began for entry in route.services):
            return began
        # All daemons choose the same one for an attempt.
        return route_table.pick_service(route, random.Random(attempt))

    def _authenticate(
        self, route_table: RouteTable, route: Route, request: CallerRequest
    ) -> Workspace | None:
        if route.is_public or not route_table.has_workspaces:
            return None
        workspace = route_table.workspace_of(
            request.header(self._names.caller_key)
        )
        if workspace is None:
            raise UnauthenticatedError('the caller key is unknown')
        return workspace

    def _caller_deadline(self, request: CallerRequest) -> float:
        deadline_text = request.header(self._names.deadline_ms)
        if not deadline_text:
            return math.inf
        try:
            wait_s = float(deadline_text) / MS_PER_S
        except ValueError:
            raise InvalidRequestError('the deadline is not a number') from None
        return request.received_at + wait_s

    def _work(self, request: CallerRequest, route: Route) -> Work:
        bounds = request.header(self._names.token_bounds)
        if not (route.has_prompt or bounds):
            return Work(objective_s=route.objective_s)
        work = parse_work(bounds, request.header(self._names.prompt_parts))
        return replace(
            work,
            body_bytes=len(request.body),
            objective_s=route.objective_s,
            longest_pause_s=route.longest_pause_s,
        )

    def _check_drain(self, context: RequestContext) -> None:
        plan = self._drain_plan
        if plan and not plan.may_serve(context.deadline, self._clock()):
            raise _draining_error('the daemon stops before the deadline')

    async def _serve_until_stop(
        self, context: RequestContext, trace: RequestTrace, answer: Answer
    ) -> None:
        plan = self._drain_plan
        timeout = asyncio.timeout_at(plan.answers_until if plan else None)
        self._drain_timeouts.add(timeout)
        try:
            async with timeout:
                await self._serve(context, trace, answer)
        except TimeoutError:
            if not timeout.expired():
                raise
            # The connection still sends an answer that was written whole.
            if not answer.is_finished:
                raise _stopped_error(trace) from None
            trace.reason = 'the caller reads slowly'
        finally:
            self._drain_timeouts.discard(timeout)

    async def _serve(
        self, context: RequestContext, trace: RequestTrace, answer: Answer
    ) -> None:
        self._link.check(len(context.request.body), context.route.objective_s)
        if await self._is_served_by_peer(context, trace, answer):
            return
        self._retries.request(context.service)
        try:
            await self._serve_here(context, trace, answer)
        except NoServerError:
            # Only what was sent to no server may be sent elsewhere.
            if trace.sends or answer.is_started:
                raise
            if not await self._is_served_by_peer(
                context,
                trace,
                answer,
                lacks_place=self._dispatcher.shares_slots(context.service),
            ):
                raise

    async def _is_served_by_peer(
        self,
        context: RequestContext,
        trace: RequestTrace,
        answer: Answer,
        *,
        lacks_place: bool = False,
    ) -> bool:
        """Answer by way of a peer if this host can't send to a server.

        That is if it reaches none, or `lacks_place`. Return whether a peer has
        answered.
        """
        relay = self._relay
        if relay is None or context.is_relayed:
            return False
        if not (lacks_place or relay.is_needed(context.service)):
            return False
        async with _until_deadline(context, trace):
            return await relay.serve(
                context, trace, answer, lacks_place=lacks_place
            )

    async def _serve_here(
        self, context: RequestContext, trace: RequestTrace, answer: Answer
    ) -> None:
        # The caller of a stream that is taken up already holds a part of it.
        if self._gate and not context.request.header(self._names.resumes):
            await self._gate.admit(context)
        reservation = None
        tokens = context.work.prompt_tokens + context.work.output_tokens
        if tokens and context.workspace is not None:
            reservation = await self._budget.reserve(
                context.workspace, tokens, context.deadline
            )
        exchange = self._streams if context.is_stream else self._whole
        try:
            async with _until_deadline(context, trace):
                await exchange.serve(context, trace, answer)
        finally:
            if self._gate:
                self._gate.ended(context, trace)
            if reservation:
                self._budget.settle(reservation, _used(context, trace))

    async def _refuse(
        self,
        request_id: str,
        trace: RequestTrace,
        answer: Answer,
        error: OriolegaugeError,
    ) -> None:
        trace.reason = error.message
        if answer.is_started:
            trace.outcome = 'broken off'
            answer.abort()
            return
        if error.run_state is not RunState.NOT_RUN:
            trace.outcome = 'failed'
        elif status_of(error) < 500 and error.retry_after_s is None:
            trace.outcome = 'denied'
        try:
            await refuse(answer, error, self._names.request_id, request_id)
        except CallerDisconnectedError:
            trace.outcome = 'caller left'

    def _report(
        self,
        request: CallerRequest,
        context: RequestContext | None,
        trace: RequestTrace,
        answer: Answer,
    ) -> None:
        now = self._clock()
        whole_s = now - request.received_at
        status = answer.status or 0
        kind = context.route.kind.value if context else 'none'
        self._metrics.request(
            kind=kind,
            outcome=trace.outcome,
            status=status,
            first_s=trace.first_answer_s,
            whole_s=whole_s,
        )
        if context and trace.sends:
            self._metrics.sends(context.service, trace.sends)
        state_versions = self._state_versions()
        log.info(
            'request',
            outcome=trace.outcome,
            status=status,
            reason=trace.reason,
            route=context.route.name if context else None,
            service=context.service if context else None,
            team=context.workspace if context else None,
            is_relayed=context is not None and context.is_relayed,
            attempts=trace.attempts,
            version=trace.version,
            resumes=trace.resumes,
            events=trace.events,
            sent_s=_rounded(trace.first_send_s),
            first_s=_rounded(trace.first_answer_s),
            expected_s=_rounded(trace.expected_s),
            longest_pause_s=_rounded(trace.longest_pause_s),
            prompt_tokens=context.work.prompt_tokens if context else 0,
            whole_s=_rounded(whole_s),
            left_s=_rounded(context.deadline - now) if context else None,
            config_version=state_versions.config_version,
            servers_revision=state_versions.servers_revision,
            store_age_s=_rounded(state_versions.store_age_s),
        )


@contextlib.asynccontextmanager
async def _until_deadline(
    context: RequestContext, trace: RequestTrace
) -> AsyncIterator[None]:
    """Raise OutcomeUnknownError at the request's deadline."""
    try:
        async with asyncio.timeout_at(context.deadline):
            yield
    except TimeoutError:
        raise OutcomeUnknownError(
            'the time for the request has passed',
            run_state=(
                RunState.UNKNOWN if trace.may_have_run else RunState.NOT_RUN
            ),
        ) from None


def _used(context: RequestContext, trace: RequestTrace) -> int:
    """Return the tokens to charge: the prompt once, and delivered output."""
    if not trace.may_have_run:
        return 0
    delivered = trace.events * context.tokens_per_event
    return context.work.prompt_tokens + min(
        context.work.output_tokens, delivered
    )


def _draining_error(message: str) -> DrainingError:
    return DrainingError(message, retry_after_s=STOPPING_RETRY_AFTER_S)


def _stopped_error(trace: RequestTrace) -> OriolegaugeError:
    """Return the error of a request that runs when the daemon stops."""
    if trace.may_have_run:
        return OutcomeUnknownError('the daemon has stopped')
    return _draining_error('the daemon has stopped')


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
