"""Dispatch requests: slots, retries, hedges and service calls."""

import asyncio
import itertools
import random
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager

from oriolegauge.admission import Job, LengthPredictor
from oriolegauge.backends import BackendServer, ServerConnectError
from oriolegauge.core.errors import NoServerError, ServerFailedError
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.daemon.slot import Slot, SlotRequest
from oriolegauge.daemon.slotqueue import RETRY_AFTER_S, SlotQueue
from oriolegauge.routing import HedgePolicy, RetryBudget, Router, ServerView


class Dispatcher:
    """Choose servers, and bound retries and hedges."""

    def __init__(
        self,
        *,
        pool: ServerPool,
        zone: str,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Prefer servers in `zone`; `clock` is in seconds."""
        self._pool = pool
        self._clock = clock
        # Service calls count as one token each, which would distort the mean
        # size of completions.
        self._services = Router(zone=zone, rng=rng)
        self.queue = SlotQueue(
            pool=pool,
            router=Router(zone=zone, rng=rng),
            rng=rng,
            clock=clock,
            may_move=lambda: self._retries.retry(1) is not None,
        )
        self._predictor = LengthPredictor()
        self._retries = RetryBudget(rng=rng)
        self._hedges = HedgePolicy()
        self._numbers = itertools.count(1)

    def set_shares(self, *, retry: float, hedge: float) -> None:
        """Bound retries and hedges as shares of all requests."""
        self._retries.share = retry
        self._hedges.share = hedge

    def begin(self) -> None:
        """Count a request, which earns a share of a retry."""
        self._retries.request()

    def learn(
        self, request: SlotRequest, output_tokens: int, seconds: float
    ) -> None:
        """Note output length and time of a finished request."""
        self._predictor.observe(
            request.team, request.model, output_tokens, request.max_tokens
        )
        self._hedges.observe(seconds)

    def slot(
        self, request: SlotRequest, *, exclude: frozenset[str]
    ) -> AbstractAsyncContextManager[Slot]:
        """Hold a slot on a server, outside `exclude` if there is one."""
        servers = self._servers(request, exclude)
        return self.queue.slot(self._job(request, servers), servers)

    def resume(
        self, request: SlotRequest, job: Job
    ) -> AbstractAsyncContextManager[Slot]:
        """Hold a slot for a paused job, which is queued already."""
        servers = self._servers(request, frozenset())
        return self.queue.slot(job, servers, is_queued=True)

    def forget(self, job: Job) -> None:
        """Drop a paused job that is not resumed."""
        self.queue.forget(job)

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
        name = self._services.choose(views, None, self._clock())
        if name is None:
            raise NoServerError(
                f'service {service} has no server',
                retry_after_s=RETRY_AFTER_S,
            )
        self._services.started(name, 1, self._clock())
        return BackendServer(name=name, url=urls[name], zone='')

    def service_ended(self, server: str, *, ok: bool) -> None:
        """Note the end of a service call."""
        self._services.finished(server, ok, self._clock(), tokens=1)

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
