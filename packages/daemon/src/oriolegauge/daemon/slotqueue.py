"""Assign free slots of backend servers to waiting jobs.

Under overload, jobs wait in the admission queue until a server has a free
slot. Resumable streams may be paused to make room for short jobs, and are
moved off servers that the router ejected.
"""

import asyncio
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
    QueueLimits,
    ServerSlots,
)
from oriolegauge.backends import BackendServer
from oriolegauge.core.errors import NoServerError
from oriolegauge.core.priority import Priority
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.daemon.slot import Slot
from oriolegauge.routing import Router

EXPIRY_PERIOD_S = 0.05
RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _WaitingJob:
    job: Job
    servers: Mapping[str, BackendServer]
    assigned: asyncio.Future[None]
    server: str | None = None


class SlotQueue:
    """Connect the admission queue, the limits and the router."""

    def __init__(
        self,
        *,
        pool: ServerPool,
        router: Router,
        rng: random.Random,
        clock: Callable[[], float],
        spend_retry: Callable[[], bool],
        limits: QueueLimits | None = None,
    ) -> None:
        """Assign slots on servers of `pool`; `clock` is in seconds.

        `spend_retry` takes a retry from the retry budget for a stream that
        moves to another server, and returns False if none is left.
        """
        self._pool = pool
        self._router = router
        self._clock = clock
        self._spend_retry = spend_retry
        self._queue = AdmissionQueue(rng=rng, limits=limits)
        self._limits: dict[str, ConcurrencyLimit] = {}
        self._tokens: Counter[str] = Counter()
        self._waiting: dict[str, _WaitingJob] = {}
        self._held_slots: dict[str, Slot] = {}
        self._peer_in_flight: Mapping[str, int] = {}
        self._daemons = 1

    @property
    def in_flight(self) -> list[tuple[str, int, int]]:
        """Return (server, requests, tokens) of each server in use."""
        return [
            (name, limit.in_flight, self._tokens[name])
            for name, limit in self._limits.items()
            if limit.in_flight
        ]

    @property
    def waiting(self) -> dict[str, int]:
        """Return the number of waiting requests per priority class."""
        return {
            priority.name.lower(): self._queue.waiting(priority)
            for priority in Priority
        }

    def waiting_tokens(self) -> Counter[str]:
        """Return the predicted tokens of waiting jobs by model."""
        tokens: Counter[str] = Counter()
        for waiting in self._waiting.values():
            if waiting.server is None:
                tokens[waiting.job.model] += waiting.job.predicted_tokens
        return tokens

    def state(self) -> dict[str, Any]:
        """Return the servers and the queue for the state dump."""
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

    def set_waiting_limits(
        self, waiting_limits: Mapping[Priority, int]
    ) -> None:
        """Set the maximum number of waiting requests of each class."""
        self._queue.set_waiting_limits(waiting_limits)

    def update_peer_load(
        self,
        requests: Mapping[str, int],
        tokens: Mapping[str, int],
        daemons: int,
    ) -> None:
        """Record the load that other daemons reported in heartbeats."""
        for name in self._peer_in_flight.keys() | tokens.keys():
            self._router.peer_load(name, tokens.get(name, 0))
        self._peer_in_flight = dict(requests)
        self._daemons = max(1, daemons)

    @asynccontextmanager
    async def slot(
        self,
        job: Job,
        servers: Mapping[str, BackendServer],
        *,
        is_queued: bool = False,
    ) -> AsyncIterator[Slot]:
        """Wait for a slot on one of the servers and hold it for the job.

        Set `is_queued` for a paused job, which is back in the queue already.
        Raise QueueFullError, DeadlineUnreachableError or NoServerError.
        """
        server = await self._wait_for_slot(job, servers, is_queued=is_queued)
        slot = Slot(
            server,
            job,
            self._clock(),
            self._note_progress,
            frozenset(name for name, one in servers.items() if one.can_resume),
        )
        self._held_slots[job.request_id] = slot
        try:
            yield slot
        finally:
            self._held_slots.pop(job.request_id, None)
            self._end_slot(slot, servers)

    def drop_paused(self, job: Job) -> None:
        """Remove from the queue a paused job that won't be resumed."""
        waiting = self._waiting.pop(job.request_id, None)
        if waiting is not None:
            self._cancel_waiting(waiting)

    async def expire_periodically(self) -> None:
        """Refuse waiting jobs that can no longer meet their deadline."""
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            for job in self._queue.expire(self._clock()):
                self._refuse_expired(job)
            self._pause_on_ejected_servers()
            self._assign_slots()

    async def _wait_for_slot(
        self,
        job: Job,
        servers: Mapping[str, BackendServer],
        *,
        is_queued: bool,
    ) -> BackendServer:
        if is_queued:
            waiting = self._waiting[job.request_id]
        else:
            self._queue.offer(job, self._clock())
            waiting = self._add_waiting(job, servers)
        self._assign_slots()
        try:
            await waiting.assigned
        except asyncio.CancelledError:
            self._cancel_waiting(waiting)
            raise
        finally:
            self._waiting.pop(job.request_id, None)
        return waiting.servers[waiting.server or '']

    def _add_waiting(
        self, job: Job, servers: Mapping[str, BackendServer]
    ) -> _WaitingJob:
        assigned = asyncio.get_running_loop().create_future()
        waiting = _WaitingJob(job, servers, assigned)
        self._waiting[job.request_id] = waiting
        return waiting

    def _cancel_waiting(self, waiting: _WaitingJob) -> None:
        self._queue.remove(waiting.job.request_id)
        if waiting.server is not None:
            self._release_slot(waiting.job, waiting.server)
            self._queue.finished(waiting.job, 0, self._clock())
            self._assign_slots()

    def _assign_slots(self) -> None:
        """Assign free slots; without one, pause a straggler for short jobs."""
        while len(self._queue):
            now = self._clock()
            slots = self._free_slots()
            job = self._queue.take(slots, now)
            if job is None:
                self._pause_straggler(slots, now)
                return
            self._assign_slot(job, slots, now)

    def _pause_straggler(self, slots: list[ServerSlots], now: float) -> None:
        job = self._queue.straggler_to_pause(slots, now)
        slot = self._held_slots.get(job.request_id) if job else None
        if slot is not None and slot.can_pause:
            slot.pause()

    def _assign_slot(
        self, job: Job, slots: list[ServerSlots], now: float
    ) -> None:
        waiting = self._waiting[job.request_id]
        views = [
            self._pool.view(waiting.servers[name])
            for name in self._queue.candidates(job, slots)
            if name in waiting.servers
        ]
        name = self._router.choose(views, job.prefix_key, now)
        if name is None:
            self._queue.finished(job, 0, now)
            error = NoServerError(
                f'no healthy server offers {job.model}',
                retry_after_s=RETRY_AFTER_S,
            )
            _fail(waiting.assigned, error)
            return
        self._queue.placed(job.request_id, name)
        self._limit(name).started()
        self._tokens[name] += job.predicted_tokens
        self._router.started(name, job.predicted_tokens, now)
        waiting.server = name
        if not waiting.assigned.done():
            waiting.assigned.set_result(None)

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
            latency_s = now - slot.started_at
            self._router.first_token(name, latency_s, now)
            self._limit(name).first_token(latency_s, now)
        else:
            self._queue.progress(slot.job.request_id, slot.tokens)
            self._router.progress(
                name,
                slot.tokens - slot.reported_tokens,
                now - slot.reported_at,
                now,
            )
        slot.reported_at = now
        slot.reported_tokens = slot.tokens

    def _pause_on_ejected_servers(self) -> None:
        """Pause streams on ejected servers so that they move to others."""
        for slot in list(self._held_slots.values()):
            if (
                slot.can_pause
                and self._router.is_ejected(slot.server.name)
                and self._has_other_server(slot)
                and self._spend_retry()
            ):
                slot.pause()

    def _has_other_server(self, slot: Slot) -> bool:
        """Return whether a healthy server can resume the stream at once."""
        return any(
            server.free > 0
            and server.name in slot.resuming_servers
            and slot.job.model in server.models
            and not self._router.is_ejected(server.name)
            for server in self._free_slots()
        )

    def _end_slot(
        self, slot: Slot, servers: Mapping[str, BackendServer]
    ) -> None:
        if slot.is_paused and not slot.ok:
            self._release_slot(slot.job, slot.server.name)
            self._add_waiting(slot.job, servers)
            self._queue.paused(slot.job, slot.tokens, self._clock())
        else:
            self._finish_slot(slot)
        self._assign_slots()

    def _finish_slot(self, slot: Slot) -> None:
        now = self._clock()
        name = slot.server.name
        limit = self._limit(name)
        self._tokens[name] -= slot.job.predicted_tokens
        if slot.ok:
            limit.finished(
                slot.tokens,
                now - slot.started_at,
                now,
                peers_in_flight=self._peer_in_flight.get(name, 0),
            )
        elif slot.tokens:
            limit.finished(0, 0, now)
        else:
            limit.failed()
        self._router.finished(
            name, slot.ok, now, tokens=slot.job.predicted_tokens
        )
        self._queue.finished(slot.job, slot.tokens, now)

    def _release_slot(self, job: Job, name: str) -> None:
        """Free a slot without counting a failure of the server."""
        now = self._clock()
        self._tokens[name] -= job.predicted_tokens
        self._limit(name).finished(0, 0, now)
        self._router.finished(name, True, now, tokens=job.predicted_tokens)

    def _refuse_expired(self, job: Job) -> None:
        waiting = self._waiting.get(job.request_id)
        if waiting is not None:
            error = DeadlineUnreachableError(
                'the deadline passed while the request was queued',
                retry_after_s=RETRY_AFTER_S,
            )
            _fail(waiting.assigned, error)


def _fail(future: asyncio.Future[None], error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
