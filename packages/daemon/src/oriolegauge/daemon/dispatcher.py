"""Give requests slots on backend servers in order of admission."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from oriolegauge.admission import (
    AdmissionQueue,
    ConcurrencyLimit,
    DeadlineUnreachableError,
    Job,
    LengthPredictor,
    QueueLimits,
    ServerSlots,
)
from oriolegauge.backends import (
    BackendServer,
    ServerConnectError,
)
from oriolegauge.core.errors import NoServerError, ServerFailedError
from oriolegauge.core.priority import Priority
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.daemon.slot import Slot, SlotRequest
from oriolegauge.routing import HedgePolicy, RetryBudget, Router, ServerView

EXPIRY_PERIOD_S = 0.05
RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _Waiting:
    job: Job
    servers: dict[str, BackendServer]
    granted: asyncio.Future[BackendServer]


class Dispatcher:
    """Queue requests and choose servers when slots are free."""

    def __init__(
        self,
        *,
        pool: ServerPool,
        zone: str,
        rng: random.Random,
        clock: Callable[[], float],
        limits: QueueLimits | None = None,
    ) -> None:
        """Prefer servers in `zone`; `clock` is in seconds."""
        self._pool = pool
        self._clock = clock
        self._queue = AdmissionQueue(rng=rng, limits=limits)
        self._router = Router(zone=zone, rng=rng)
        self._predictor = LengthPredictor()
        self._retries = RetryBudget(rng=rng)
        self._hedges = HedgePolicy()
        self._limits: dict[str, ConcurrencyLimit] = {}
        self._tokens: Counter[str] = Counter()
        self._waiting: dict[str, _Waiting] = {}
        self._numbers = itertools.count(1)
        self._peer_in_flight: dict[str, int] = {}
        self._daemons = 1

    @property
    def in_flight(self) -> list[tuple[str, int, int]]:
        """Return server, running requests and their tokens, where any."""
        return [
            (name, limit.in_flight, self._tokens[name])
            for name, limit in self._limits.items()
            if limit.in_flight
        ]

    @property
    def waiting(self) -> dict[str, int]:
        """Return the waiting requests per priority class."""
        return {
            priority.name.lower(): self._queue.waiting(priority)
            for priority in Priority
        }

    def state(self) -> dict[str, Any]:
        """Return the part of the state dump on servers and the queue."""
        return {
            'waiting': self.waiting,
            'servers': {
                server.name: {
                    'in_flight': self._limit(server.name).in_flight,
                    'limit': self._limit(server.name).limit,
                    'leaving': server.leaving,
                    'ejected': self._router.is_ejected(server.name),
                }
                for server in self._pool.engines()
            },
        }

    def observe_peers(
        self,
        requests: Mapping[str, int],
        tokens: Mapping[str, int],
        daemons: int,
    ) -> None:
        """Take over what heartbeats say of other daemons' work."""
        for name in self._peer_in_flight.keys() | tokens.keys():
            self._router.peer_load(name, tokens.get(name, 0))
        self._peer_in_flight = dict(requests)
        self._daemons = max(1, daemons)

    def learn(self, request: SlotRequest, output_tokens: int) -> None:
        """Note the output length of a finished request."""
        self._predictor.observe(request.team, request.model, output_tokens)

    @asynccontextmanager
    async def slot(
        self, request: SlotRequest, *, exclude: frozenset[str]
    ) -> AsyncIterator[Slot]:
        """Hold a slot on a server, outside `exclude` if there is one."""
        servers = self._servers(request, exclude)
        job = self._job(request, servers)
        server = await self._wait(job, servers)
        slot = Slot(server, self._clock(), self._note_progress)
        try:
            yield slot
        finally:
            self._end(job, slot)

    def can_resume(self, request: SlotRequest, tried: set[str]) -> bool:
        """Tell whether another server can go on with a cut stream."""
        return any(
            server.can_resume and name not in tried
            for name, server in self._pool.usable(
                request.model, request.allowed
            ).items()
        )

    def server_names(self, request: SlotRequest) -> set[str]:
        """Return the servers that may run the request."""
        return set(self._pool.usable(request.model, request.allowed))

    async def before_retry(
        self, attempt: int, failure: ServerFailedError
    ) -> None:
        """Wait before another attempt; raise `failure` without budget.

        A refused connection costs no backend server anything, so it needs no
        budget.
        """
        if isinstance(failure, ServerConnectError):
            return
        delay = self._retries.retry(attempt)
        if delay is None:
            failure.retry_after_s = RETRY_AFTER_S
            raise failure
        await asyncio.sleep(delay)

    def hedge_delay(self, *, idempotent: bool) -> float | None:
        """Return after how many seconds to hedge a whole answer, or None."""
        self._hedges.request()
        return self._hedges.delay(idempotent=idempotent, whole_answer=True)

    def spend_hedge(self) -> bool:
        """Return whether the hedge budget allows one more."""
        return self._hedges.spend()

    def service_server(
        self, service: str, urls: Mapping[str, str]
    ) -> BackendServer:
        """Return a server of a plain service."""
        views = [ServerView(name=name, zone='') for name in urls]
        name = self._router.choose(views, None, self._clock())
        if name is None:
            raise NoServerError(
                f'service {service} has no server',
                retry_after_s=RETRY_AFTER_S,
            )
        self._router.started(name, 1, self._clock())
        self._retries.request()
        return BackendServer(name=name, url=urls[name], zone='')

    def service_ended(self, server: str, *, ok: bool) -> None:
        """Note the end of a service call."""
        self._router.finished(server, ok, self._clock(), tokens=1)

    async def expire_periodically(self) -> None:
        """Refuse waiting requests that can no longer meet their deadline."""
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            for job in self._queue.expire(self._clock()):
                self._refuse(job)
            self._pump()

    def _servers(
        self, request: SlotRequest, exclude: frozenset[str]
    ) -> dict[str, BackendServer]:
        servers = self._pool.usable(request.model, request.allowed)
        if not servers:
            raise NoServerError(
                f'no server offers {request.model}',
                retry_after_s=RETRY_AFTER_S,
            )
        fresh = {
            name: server
            for name, server in servers.items()
            if name not in exclude
        }
        return fresh or servers

    def _job(
        self, request: SlotRequest, servers: Mapping[str, BackendServer]
    ) -> Job:
        return Job(
            request_id=f'{request.request_id}#{next(self._numbers)}',
            team=request.team,
            priority=request.priority,
            predicted_tokens=self._predictor.predict(
                request.team, request.model, request.max_tokens
            ),
            enqueued_at=self._clock(),
            model=request.model,
            deadline=request.deadline,
            allowed_servers=frozenset(servers),
            prefix_key=request.prefix_key,
        )

    async def _wait(
        self, job: Job, servers: dict[str, BackendServer]
    ) -> BackendServer:
        self._queue.offer(job, self._clock())
        self._retries.request()
        waiting = _Waiting(
            job, servers, asyncio.get_running_loop().create_future()
        )
        self._waiting[job.request_id] = waiting
        self._pump()
        try:
            return await waiting.granted
        except asyncio.CancelledError:
            self._withdraw(waiting)
            raise
        finally:
            self._waiting.pop(job.request_id, None)

    def _withdraw(self, waiting: _Waiting) -> None:
        if self._queue.remove(waiting.job.request_id) is not None:
            return
        granted = waiting.granted
        if granted.done() and not granted.cancelled():
            slot = Slot(granted.result(), self._clock(), self._note_progress)
            self._end(waiting.job, slot, failed=False)

    def _pump(self) -> None:
        """Give free slots to waiting requests."""
        while len(self._queue):
            now = self._clock()
            slots = self._free_slots()
            job = self._queue.take(slots, now)
            if job is None:
                return
            self._place(job, slots, now)

    def _place(self, job: Job, slots: list[ServerSlots], now: float) -> None:
        waiting = self._waiting[job.request_id]
        views = [
            self._pool.view(waiting.servers[name])
            for name in self._queue.candidates(job, slots)
            if name in waiting.servers
        ]
        name = self._router.choose(views, job.prefix_key, now)
        if name is None:
            self._queue.finished(job, 0, now)
            _fail(
                waiting.granted,
                NoServerError(
                    f'no healthy server offers {job.model}',
                    retry_after_s=RETRY_AFTER_S,
                ),
            )
            return
        self._queue.placed(job.request_id, name)
        self._limit(name).started()
        self._tokens[name] += job.predicted_tokens
        self._router.started(name, job.predicted_tokens, now)
        if not waiting.granted.done():
            waiting.granted.set_result(waiting.servers[name])

    def _free_slots(self) -> list[ServerSlots]:
        return [
            ServerSlots(
                name=server.name,
                models=server.models,
                free=self._limit(server.name).free(
                    self._peer_in_flight.get(server.name, 0), self._daemons
                ),
                limit=self._limit(server.name).limit,
            )
            for server in self._pool.engines()
            if not server.leaving
        ]

    def _limit(self, name: str) -> ConcurrencyLimit:
        return self._limits.setdefault(name, ConcurrencyLimit())

    def _note_progress(self, slot: Slot) -> None:
        now = self._clock()
        name = slot.server.name
        if slot.first_token_at is None:
            slot.first_token_at = now
            self._router.first_token(name, now - slot.started_at, now)
            return
        self._router.progress(name, slot.tokens, now - slot.first_token_at, now)

    def _end(self, job: Job, slot: Slot, *, failed: bool = True) -> None:
        now = self._clock()
        name = slot.server.name
        self._tokens[name] -= job.predicted_tokens
        limit = self._limit(name)
        seconds = now - slot.started_at
        if slot.ok:
            limit.finished(
                slot.tokens,
                seconds,
                now,
                peers_in_flight=self._peer_in_flight.get(name, 0),
            )
            self._hedges.observe(seconds)
        elif failed and slot.tokens == 0:
            limit.failed()
        else:
            limit.finished(0, 0, now)
        self._router.finished(
            name, slot.ok or not failed, now, tokens=job.predicted_tokens
        )
        self._queue.finished(job, slot.tokens, now)
        self._pump()

    def _refuse(self, job: Job) -> None:
        waiting = self._waiting.get(job.request_id)
        if waiting is not None:
            _fail(
                waiting.granted,
                DeadlineUnreachableError(
                    'the deadline passed while waiting',
                    retry_after_s=RETRY_AFTER_S,
                ),
            )


def _fail(future: asyncio.Future[Any], error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
