"""Choose backend servers for requests, retries, hedges and service calls.

Retries and hedges are limited to shares of all requests, so that failing
or slow servers don't multiply the load on the others.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager

from oriolegauge.admission import Job, LengthPredictor
from oriolegauge.backends import (
    BackendServer,
    ServerConnectError,
    ServerConnectionLostError,
)
from oriolegauge.core.errors import (
    AnswerIncompleteError,
    NoServerError,
    ServerFailedError,
)
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.daemon.slot import Slot, SlotRequest
from oriolegauge.daemon.slotqueue import RETRY_AFTER_S, SlotQueue
from oriolegauge.routing import HedgePolicy, RetryBudget, Router, ServerView


class Dispatcher:
    """Choose servers and limit retries and hedges."""

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
        # Service calls count as one token each. In the router of completions
        # they would distort the mean request size.
        self._service_router = Router(zone=zone, rng=rng)
        self.queue = SlotQueue(
            pool=pool,
            router=Router(zone=zone, rng=rng),
            rng=rng,
            clock=clock,
            spend_retry=lambda: self._retries.retry(1) is not None,
        )
        self._predictor = LengthPredictor()
        self._retries = RetryBudget(rng=rng)
        self._hedges = HedgePolicy()
        self._attempt_numbers = itertools.count(1)

    def set_shares(self, *, retry: float, hedge: float) -> None:
        """Limit retries and hedges to these shares of all requests."""
        self._retries.share = retry
        self._hedges.share = hedge

    def count_request(self) -> None:
        """Count a request, which adds a share to the retry budget."""
        self._retries.request()

    def record_result(
        self, request: SlotRequest, output_tokens: int, seconds: float
    ) -> None:
        """Record output tokens and duration of a finished request."""
        self._predictor.observe(
            request.team, request.model, output_tokens, request.max_tokens
        )
        self._hedges.observe(seconds)

    def slot(
        self,
        request: SlotRequest,
        *,
        exclude: frozenset[str],
        resumes: bool = False,
    ) -> AbstractAsyncContextManager[Slot]:
        """Hold a slot, on a server outside `exclude` if there is one.

        With `resumes` the server must be able to resume an interrupted stream;
        raise AnswerIncompleteError if none is.
        """
        servers = self._servers(request, exclude, resumes=resumes)
        return self.queue.slot(self._job(request, servers), servers)

    def resume(
        self, request: SlotRequest, job: Job
    ) -> AbstractAsyncContextManager[Slot]:
        """Hold a slot for a paused job, which is back in the queue already."""
        servers = self._servers(request, frozenset())
        return self.queue.slot(job, servers, is_queued=True)

    def drop_paused(self, job: Job) -> None:
        """Remove from the queue a paused job that won't be resumed."""
        self.queue.drop_paused(job)

    def can_resume(self, request: SlotRequest, tried_servers: set[str]) -> bool:
        """Return whether an untried server can resume an interrupted stream."""
        return any(
            server.can_resume and name not in tried_servers
            for name, server in self._pool.usable(
                request.model, request.allowed_servers
            ).items()
        )

    def server_names(self, request: SlotRequest) -> set[str]:
        """Return the servers that may run the request."""
        return set(self._pool.usable(request.model, request.allowed_servers))

    def take_retry(
        self,
        request: SlotRequest,
        tried_servers: set[str],
        *,
        attempt: int,
        resumes: bool,
    ) -> float | None:
        """Take a retry on an untried server; return its backoff in seconds.

        Return None if no such server or retry is left. With `resumes` the
        server must be able to resume an interrupted stream.
        """
        if resumes and not self.can_resume(request, tried_servers):
            return None
        if self.server_names(request) <= tried_servers:
            return None
        return self._retries.retry(attempt)

    async def wait_before_retry(
        self, attempt: int, failure: ServerFailedError
    ) -> None:
        """Wait before another attempt; raise `failure` if no retry is left.

        Retries after a refused connection don't use up the retry budget, as
        they put no load on the backend server that refused. The retry of a
        silent attempt was taken before it was ended.
        """
        if isinstance(failure, ServerConnectError):
            return
        delay = _taken_retry_delay(failure)
        if delay is None:
            delay = self._retries.retry(attempt)
        if delay is None:
            failure.retry_after_s = RETRY_AFTER_S
            raise failure
        await asyncio.sleep(delay)

    def hedge_delay(self, *, idempotent: bool) -> float | None:
        """Return after how many seconds to hedge, or None for no hedge."""
        self._hedges.request()
        return self._hedges.delay(idempotent=idempotent, whole_answer=True)

    def spend_hedge(self) -> bool:
        """Take a hedge from the hedge budget; return False if none is left."""
        return self._hedges.spend()

    def choose_service_server(
        self, service: str, urls: Mapping[str, str]
    ) -> BackendServer:
        """Choose a server of a plain HTTP service; raise NoServerError."""
        views = [ServerView(name=name, zone='') for name in urls]
        name = self._service_router.choose(views, None, self._clock())
        if name is None:
            raise NoServerError(
                f'service {service} has no healthy server',
                retry_after_s=RETRY_AFTER_S,
            )
        self._service_router.started(name, 1, self._clock())
        return BackendServer(name=name, url=urls[name], zone='')

    def record_service_result(self, server: str, *, ok: bool) -> None:
        """Record that a service call ended and whether its server worked."""
        self._service_router.finished(server, ok, self._clock(), tokens=1)

    def _servers(
        self,
        request: SlotRequest,
        exclude: frozenset[str],
        *,
        resumes: bool = False,
    ) -> dict[str, BackendServer]:
        servers = self._pool.usable(request.model, request.allowed_servers)
        if resumes:
            servers = _resuming(servers)
        if not servers:
            raise NoServerError(
                f'no server offers {request.model}',
                retry_after_s=RETRY_AFTER_S,
            )
        not_excluded = {
            name: server
            for name, server in servers.items()
            if name not in exclude
        }
        return not_excluded or servers

    def _job(
        self, request: SlotRequest, servers: Mapping[str, BackendServer]
    ) -> Job:
        return Job(
            request_id=f'{request.request_id}#{next(self._attempt_numbers)}',
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


def _taken_retry_delay(failure: ServerFailedError) -> float | None:
    if isinstance(failure, ServerConnectionLostError):
        return failure.retry_delay_s
    return None


def _resuming(servers: Mapping[str, BackendServer]) -> dict[str, BackendServer]:
    """Return the servers that can resume a stream; raise if there is none."""
    resuming = {
        name: server for name, server in servers.items() if server.can_resume
    }
    if not resuming:
        raise AnswerIncompleteError(
            'no server can resume the stream', retry_after_s=RETRY_AFTER_S
        )
    return resuming
