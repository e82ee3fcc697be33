"""Gate that each request passes before tokens are reserved and it is sent.

Holds back or refuses requests by the decisions of the admission package while
the slots of servers are short.
"""

import asyncio
import itertools
import math
import random
from dataclasses import asdict, dataclass
from typing import Any

import structlog

from oriolegauge.admission import CapacityShortError, GatedRequest, LoadGate
from oriolegauge.admission.scarcity import (
    Condition,
    Decision,
    GoOn,
    Refuse,
    Supply,
)
from oriolegauge.admission.waitingline import WaitingRequest
from oriolegauge.core.taskset import TaskSet
from oriolegauge.forwarding.dispatcher import Dispatcher, FleetLoads
from oriolegauge.forwarding.forwardmetrics import ForwardMetrics
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace

# While requests wait the loads are fetched that often, so that all daemons
# decide by loads that are at most a fraction of a second old.
TICK_S = 0.1
TICK_JITTER = 0.25
# Loads that are not older need not be fetched again for a new request.
RECENT_S = 0.05

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Turn:
    context: RequestContext
    future: asyncio.Future[None]


class AdmissionGate:
    """Let requests go on, wait, or be refused as not run."""

    def __init__(
        self,
        *,
        gate: LoadGate,
        dispatcher: Dispatcher,
        loads: FleetLoads,
        metrics: ForwardMetrics,
        rng: random.Random,
    ) -> None:
        """Decide by `gate`, with the loads that the dispatcher knows."""
        self._gate = gate
        self._dispatcher = dispatcher
        dispatcher.report_rejections(self._note_rejected)
        self._loads = loads
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        self._numbers = itertools.count()
        self._turns: dict[int, _Turn] = {}
        self._tasks = TaskSet()
        self._refreshed_at = -RECENT_S

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return self._gate.waiting

    async def admit(self, context: RequestContext) -> None:
        """Return when the request may be sent.

        Raise CapacityShortError if it is refused.
        """
        gate = self._gate.service(context.service)
        request = self._gated(context)
        if context.work.is_prompt and gate.is_tight(self._clock()):
            await self._refresh(context)
        supply = self._supply(context)
        decision, place = gate.arrive(request, supply, self._clock())
        if place:
            self._metrics.held_back(context.priority)
            log.info(
                'request held back',
                priority=context.priority,
                slack_s=round(place.slack_ends_at - self._clock(), 3),
                work_s=round(place.work_s, 3),
                busy_share=supply and round(supply.busy_share, 3),
                wait_s=supply and round(supply.wait_s, 3),
            )
        while place:
            decision, place = await self._wait(context, place)
        if isinstance(decision, Refuse):
            self._metrics.shed(context.priority)
            raise CapacityShortError(
                decision.reason, retry_after_s=decision.retry_after_s
            )

    def explain(self, context: RequestContext) -> dict[str, Any]:
        """Return the decision on a request now and its inputs.

        Nothing changes, is sent or fetched.
        """
        supply = self._supply(context)
        condition, decision = self._gate.service(context.service).preview(
            self._gated(context), supply, self._clock()
        )
        return {
            'decision': _described(decision),
            'condition': condition and _described(condition),
            'loads': supply and asdict(supply),
            'waiting_here': self.waiting,
        }

    def ended(self, context: RequestContext, trace: RequestTrace) -> None:
        """Record the end of a request that was let through."""
        now = self._clock()
        gate = self._gate.service(context.service)
        gate.ended()
        self._release(context.service)
        if trace.outcome != 'answered' or trace.first_send_s is None:
            return
        whole_s = now - context.request.received_at - trace.first_send_s
        first_s = whole_s
        if trace.first_answer_s is not None:
            first_s = max(0, trace.first_answer_s - trace.first_send_s)
        route = context.route
        is_fluent = not route.longest_pause_s or (
            trace.longest_pause_s <= route.longest_pause_s
        )
        request = self._gated(context)
        share = first_s / request.objective_s if is_fluent else math.inf
        gate.answered(now, share)
        self._gate.ended(request, first_s=first_s, rest_s=whole_s - first_s)

    async def _wait(
        self, context: RequestContext, place: WaitingRequest
    ) -> tuple[Decision, WaitingRequest | None]:
        gate = self._gate.service(context.service)
        turn = _Turn(context, self._loop.create_future())
        self._turns[place.number] = turn
        if not self._tasks:
            self._tasks.spawn(self._tick())
        try:
            async with asyncio.timeout_at(place.due_at):
                await turn.future
        except TimeoutError:
            # A turn that was given at the same moment counts.
            if turn.future.cancelled():
                return gate.due(place.number, self._look, self._clock())
        finally:
            self._turns.pop(place.number)
            # Removes the request of a caller that has left.
            gate.leave(place.number)
        return GoOn(), None

    async def _tick(self) -> None:
        """Fetch the loads and release requests as long as some wait."""
        while self._turns:
            jitter = self._rng.uniform(1 - TICK_JITTER, 1 + TICK_JITTER)
            await asyncio.sleep(TICK_S * jitter)
            waiting = {
                turn.context.service: turn.context
                for turn in self._turns.values()
            }
            await self._loads.refresh()
            self._refreshed_at = self._clock()
            for context in waiting.values():
                self._note_loads(context)

    async def _refresh(self, context: RequestContext) -> None:
        if self._clock() - self._refreshed_at < RECENT_S:
            return
        await self._loads.refresh()
        self._refreshed_at = self._clock()
        self._note_loads(context)

    def _note_loads(self, context: RequestContext) -> None:
        gate = self._gate.service(context.service)
        gate.note_loads(self._supply(context), self._clock())
        self._release(context.service)

    def _release(self, service: str) -> None:
        gate = self._gate.service(service)
        if not gate.waiting:
            return
        for number in gate.release(self._look, self._clock()):
            future = self._turns[number].future
            if not future.done():
                future.set_result(None)

    def _look(self, request: GatedRequest) -> Supply | None:
        return self._supply(self._turns[request.number].context)

    def _supply(self, context: RequestContext) -> Supply | None:
        if not self._loads.is_fresh:
            return None
        return self._dispatcher.supply(context)

    def _note_rejected(self, service: str) -> None:
        self._gate.service(service).rejected(self._clock())

    def _gated(self, context: RequestContext) -> GatedRequest:
        work, route = context.work, context.route
        return GatedRequest(
            number=next(self._numbers),
            kind=route.name,
            priority=context.priority,
            workspace=context.workspace or '',
            # Without an objective an answer by the deadline is on time.
            objective_s=route.objective_s or route.timeout_s,
            arrived_at=context.request.received_at,
            deadline=context.deadline,
            prompt_tokens=work.prompt_tokens,
            output_tokens=work.output_tokens,
            body_bytes=len(context.request.body),
            longest_pause_s=route.longest_pause_s,
        )


def _described(part: Condition | Decision) -> dict[str, Any]:
    return {'kind': type(part).__name__, **asdict(part)}
