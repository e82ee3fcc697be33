"""Choose a server for an attempt, send the request and record the result.

Matters when servers are overloaded, paused, leaving or unreachable.
"""

import asyncio
import re
from collections.abc import Callable, Collection, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from oriolegauge.admission.scarcity import Supply
from oriolegauge.core.errors import NoServerError
from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.connectionpool import ConnectionPool
from oriolegauge.forwarding.connector import Connector, ConnectSearch
from oriolegauge.forwarding.crashdetector import CrashDetector
from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.forwarding.evacuatedzones import shown
from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.headers import end_to_end
from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace
from oriolegauge.forwarding.serverconnection import ServerConnection
from oriolegauge.forwarding.serverdirectory import ServerDirectory
from oriolegauge.forwarding.serverlimits import ServerLimits
from oriolegauge.forwarding.serverplaces import (
    ServerPlaces,
    lone_daemon_places,
)
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.forwarding.serversignals import MISDIRECTED
from oriolegauge.routing.candidate import Candidate
from oriolegauge.routing.retryschedule import RetrySchedule
from oriolegauge.routing.serverchooser import ServerChooser
from oriolegauge.routing.serverpauses import ServerPauses
from oriolegauge.routing.work import PromptPart

RETRY_AFTER_NO_SERVER_S = 0.5
# A full server that sent no Retry-After accepts work again as soon as one of
# its requests has ended.
RETRY_AFTER_REJECTED_S = 0.15
# Evacuations last; callers that return sooner only cost time.
RETRY_AFTER_EVACUATED_S = 2.0
# While less of the slots is taken no request is refused, and the cost of
# estimating waits is saved.
AMPLE_SHARE = 0.45
# A server whose address another one uses now is gone; its entry in the store
# lapses some seconds later. It has no load, and would be chosen for most
# requests until then.
MISDIRECTED_BACKOFF_S = 2.0
MS_PER_S = 1000
CONTROL_CHARACTERS = re.compile(r'[\x00-\x1f\x7f]')
FIRST_SERVER_ERROR = 500
# A server that has sent this many parts of a stream has not crashed by
# beginning to write it.
STARTED_PARTS = 2


class FleetLoads(Protocol):
    """Exchange the load on each server with the other daemons."""

    async def refresh(self, parts: Sequence[PromptPart] = ()) -> bool:
        """Fetch the loads and the servers that have cached the prompt parts.

        Return whether they are known.
        """

    @property
    def is_fresh(self) -> bool:
        """State whether the loads were fetched a fraction of a second ago."""

    def changed(self) -> None:
        """Schedule a report of this daemon's load to the others."""


class FleetPermits(Protocol):
    """Keep the requests of all daemons to the rates that servers take."""

    async def acquire(self, server_instance: ServerInstance) -> float:
        """Return 0 if a request may be sent, else the seconds to wait."""

    def give_back(self, server_instance: ServerInstance) -> None:
        """Return the permit of a request that was not sent."""

    def own_per_s(self, server_instance: ServerInstance) -> float:
        """Return this daemon's equal part of the rate of a limited server."""


@dataclass(slots=True)
class Attempt:
    """Hold one send to a server until `Dispatcher.close`.

    `waiting_tokens` are those that the server had to read before it.
    `limit_mark` tells what was known of the server's limit when it was sent.
    `has_started` states that the server has survived the start of its answer,
    `is_harmless` that it has survived all of it.
    """

    context: RequestContext
    server: BackendServer
    connection: ServerConnection
    unread_tokens: int
    sent_at: float
    waiting_tokens: int = 0
    limit_mark: int = 0
    was_answered: bool = False
    parts: int = 0
    has_started: bool = False
    is_harmless: bool = False
    ok: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerCost:
    """State what a request would cost at a server; `running` is of all daemons.

    `expected_s` is the expected time to the first event there.
    """

    server: str
    zone: str
    expected_s: float
    running: int
    slots: int
    is_reachable: bool
    is_paused: bool


class Dispatcher:
    """Send a request to the server with the least expected time."""

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        chooser: ServerChooser,
        pool: ConnectionPool,
        names: HeaderNames,
        loads: FleetLoads,
        pauses: ServerPauses,
        limits: ServerLimits,
        permits: FleetPermits,
        crashes: CrashDetector,
        connection_limit: Callable[[str], int],
    ) -> None:
        """Keep at most `connection_limit(service)` connections per server."""
        self._on_rejected: Callable[[str], None] | None = None
        self._directory = directory
        self._chooser = chooser
        self._pool = pool
        self._names = names
        self._loads = loads
        self._pauses = pauses
        self._limits = limits
        self._permits = permits
        self._crashes = crashes
        self._connector = Connector(
            pool=pool, chooser=chooser, give_back=self._give_back
        )
        self._retry_schedule = RetrySchedule()
        self._connection_limit = connection_limit
        self._clock = asyncio.get_running_loop().time
        self._places = lone_daemon_places(self._clock)

    def report_rejections(self, on_rejected: Callable[[str], None]) -> None:
        """Call `on_rejected` with a service whenever a server of it is full."""
        self._on_rejected = on_rejected

    def share_places(self, places: ServerPlaces) -> None:
        """Share the slots of brittle servers with the other daemons."""
        self._places = places

    def shares_slots(self, service: str) -> bool:
        """State whether a peer may have a place that this daemon lacks."""
        return self._places.is_bounded(service)

    def has_server(
        self,
        service: str,
        excluded: Collection[str],
        version: str | None = None,
    ) -> bool:
        """State whether a server outside `excluded` can take a request.

        Only servers of the version count, unless it is None.
        """
        return bool(self._candidates(service, excluded, version))

    def supply(self, context: RequestContext) -> Supply:
        """Return how loaded the servers are that may serve the request.

        Full servers that asked for a pause count, unreachable ones don't. While
        clearly less than half of the slots are taken, waits are not estimated.
        """
        now = self._clock()
        servers = [
            server
            for server in self._directory.of_service(context.service)
            if self._chooser.is_reachable(server.instance)
        ]
        slots = sum([server.slots for server in servers])
        running = self._chooser.running(server.instance for server in servers)
        if running < slots * AMPLE_SHARE:
            return Supply(
                busy_share=running / slots, wait_s=0, reading_s=0, slots=slots
            )
        room = self._chooser.room(
            [_candidate(server) for server in servers], context.work, now
        )
        return Supply(
            busy_share=room.busy_share,
            wait_s=room.wait_s,
            reading_s=room.reading_s,
            slots=slots,
        )

    def explain(
        self, context: RequestContext
    ) -> tuple[str | None, list[ServerCost]]:
        """Return the server that the request would go to now, and all costs.

        Nothing is sent or fetched. The name is None if no server takes work.
        """
        now = self._clock()
        usable = self._candidates(context.service, (), None)
        chosen = self._chooser.choose(
            [_candidate(server) for server in usable.values()],
            context.work,
            now,
            is_index_current=self._loads.is_fresh,
        )
        costs = []
        for server in self._directory.of_service(context.service):
            name, candidate = server.instance, _candidate(server)
            costs.append(
                ServerCost(
                    server=name,
                    zone=server.zone,
                    expected_s=self._chooser.room(
                        [candidate], context.work, now
                    ).wait_s,
                    running=self._chooser.running([name]),
                    slots=server.slots,
                    is_reachable=self._chooser.is_reachable(name),
                    is_paused=self._pauses.is_paused(name, now),
                )
            )
        return chosen, costs

    def rejection(self, context: RequestContext) -> NoServerError:
        """Return the error for a request that full servers have rejected."""
        return self._no_server(
            context, 'the servers are full', RETRY_AFTER_REJECTED_S
        )

    async def send(
        self,
        context: RequestContext,
        trace: RequestTrace,
        *,
        excluded: set[str],
        version: str | None = None,
        extra_headers: Sequence[tuple[str, str]] = (),
    ) -> Attempt:
        """Send the request once; raise NoServerError if it can't be sent.

        Unless `version` is None, only servers of that version are used. Raise
        QuarantinedError if it may crash a server. Add servers that accept
        no connection to `excluded`.
        """
        await self._crashes.check(context)
        is_index_current = False
        # A request without a prompt takes less time than fetching the loads.
        if context.work.is_prompt:
            is_index_current = await self._loads.refresh(
                context.work.shared_parts
            )
        search = ConnectSearch(
            context,
            trace,
            excluded,
            choose=partial(
                self._choose_permitted,
                context,
                version=version,
                is_index_current=is_index_current,
            ),
            began_at=self._clock(),
        )
        while True:
            server, connection = await self._connect(search)
            try:
                return await self._start(
                    context, trace, server, connection, extra_headers
                )
            except ServerUnreachableError as error:
                trace.note(server.instance, f'not sent ({error.message})')
                self._permits.give_back(server.server_instance)
                self._pool.note_reset(server)
                search.note_failed(server)

    async def _connect(
        self, search: ConnectSearch
    ) -> tuple[BackendServer, ServerConnection]:
        found = await self._connector.connect(search)
        if found is None:
            raise self._no_server(
                search.context,
                'no server accepts a connection',
                RETRY_AFTER_NO_SERVER_S,
            )
        return found

    async def wait_for_header(self, attempt: Attempt) -> ServerReply:
        """Wait for the reply's header; raise ReplyBrokenError if it fails."""
        reply = await attempt.connection.head()
        self._pool.note_answered(attempt.server)
        if reply.status == MISDIRECTED:
            self._chooser.leave_out(
                attempt.server.instance,
                until=self._clock() + MISDIRECTED_BACKOFF_S,
            )
        else:
            self._note_terms(attempt, reply)
        return reply

    def record_reply(self, attempt: Attempt, reply: ServerReply) -> None:
        """Record the server's health and speed from its reply."""
        is_full = bool(reply.header('Retry-After'))
        # A full server that sends Retry-After has not failed.
        attempt.ok = reply.status < FIRST_SERVER_ERROR or is_full
        if not (is_full or reply.header(self._names.not_run)):
            self.record_first_part(attempt)
        elif not (
            reply.status == MISDIRECTED or reply.header(self._names.leaving)
        ):
            self._note_rejected(attempt.context.service)

    def _note_rejected(self, service: str) -> None:
        self._places.note_rejected(service)
        if self._on_rejected:
            self._on_rejected(service)

    def record_first_part(self, attempt: Attempt) -> None:
        """Record the time to the first part of the answer."""
        if attempt.was_answered:
            return
        attempt.was_answered = True
        now = self._clock()
        self._chooser.answered(
            attempt.server.instance,
            attempt.unread_tokens,
            seconds=now - attempt.sent_at,
            now=now,
            waiting_tokens=attempt.waiting_tokens,
        )
        self._loads.changed()

    def record_part(self, attempt: Attempt) -> None:
        """Record a part of a stream with at least one event."""
        self.record_first_part(attempt)
        attempt.parts += 1
        if attempt.parts >= STARTED_PARTS and not attempt.has_started:
            attempt.has_started = True
            self._crashes.note_harmless(attempt.context, is_whole=False)

    def record_harmless(self, attempt: Attempt) -> None:
        """Record that the server has survived the whole answer."""
        if not attempt.is_harmless:
            attempt.is_harmless = True
            self._crashes.note_harmless(attempt.context)

    def close(self, attempt: Attempt) -> None:
        """End the attempt; close its connection if the reply is incomplete."""
        if attempt.connection.is_lost:
            self._note_lost(attempt)
        self._pool.give_back(attempt.server, attempt.connection)
        self._places.give_back(attempt.server.server_instance)
        now = self._clock()
        if attempt.was_answered:
            self._places.note_ended(
                attempt.server.service, now - attempt.sent_at
            )
        self._chooser.ended(
            attempt.server.instance,
            attempt.unread_tokens,
            was_answered=attempt.was_answered,
            # A loaded server is left out for a moment instead.
            ok=attempt.ok or attempt.connection.is_reset_at_once,
            now=now,
            work=attempt.context.work,
            seconds=now - attempt.sent_at,
        )
        self._loads.changed()

    def _note_lost(self, attempt: Attempt) -> None:
        """Note that the request may have crashed its server.

        A server that stops or has rejected too much has another reason.
        """
        server = attempt.server
        has_other_reason = (
            attempt.is_harmless
            or self._directory.is_leaving(server.instance)
            or self._places.may_have_fallen(server.service)
        )
        if not has_other_reason:
            self._crashes.note_lost(
                server, attempt.context, has_started=attempt.has_started
            )

    async def _choose_permitted(
        self,
        context: RequestContext,
        excluded: Collection[str],
        *,
        version: str | None,
        is_index_current: bool,
    ) -> BackendServer:
        """Return the best server to which a request may be sent now."""
        while True:
            server = self._choose(
                context, excluded, version, is_index_current=is_index_current
            )
            wait_s = await self._permits.acquire(server.server_instance)
            if wait_s > 0:
                self._pauses.hold(server.instance, wait_s, self._clock())
            elif self._places.take(server):
                return server
            else:
                # Another request took the last place in the meantime.
                self._permits.give_back(server.server_instance)

    def _give_back(self, server_instance: ServerInstance) -> None:
        """Return the permit and the place of a request that was not sent."""
        self._permits.give_back(server_instance)
        self._places.give_back(server_instance)

    def _note_terms(self, attempt: Attempt, reply: ServerReply) -> None:
        """Record whether the server is brittle; end a limit it doesn't name."""
        self._places.note_reply(
            attempt.server.service,
            reply.header(self._names.brittle),
            attempt.sent_at,
        )
        if not reply.header(self._names.rate_limit):
            self._limits.note_unlimited(
                attempt.server.server_instance, attempt.limit_mark
            )

    def _choose(
        self,
        context: RequestContext,
        excluded: Collection[str],
        version: str | None,
        *,
        is_index_current: bool,
    ) -> BackendServer:
        servers = self._candidates(context.service, excluded, version)
        name = self._chooser.choose(
            [_candidate(server) for server in servers.values()],
            context.work,
            self._clock(),
            is_index_current=is_index_current,
        )
        if name is None:
            self._check_evacuated(context.service)
            raise self._no_server(
                context,
                f'no server of {context.service}{_of_version(version)} '
                'takes work',
                RETRY_AFTER_NO_SERVER_S,
            )
        return servers[name]

    def _check_evacuated(self, service: str) -> None:
        """Raise NoServerError if all servers are in evacuated zones."""
        zones = self._directory.evacuated_zones_of(service)
        if zones and not self._directory.of_service(service):
            raise NoServerError(
                f'all servers of {service} are in evacuated zones: '
                f'{shown(zones)}',
                retry_after_s=RETRY_AFTER_EVACUATED_S,
            )

    def _no_server(
        self, context: RequestContext, reason: str, default_s: float
    ) -> NoServerError:
        """Return the error with the time until the first pause ends, if any."""
        servers = self._directory.of_service(context.service)
        names = [server.instance for server in servers]
        now = self._clock()
        wait_s = self._pauses.retry_after_s(names, now)
        if wait_s is None and self._places.is_bounded(context.service):
            reason = f'{reason}; the slots of brittle servers are shared'
            wait_s = self._retry_schedule.wait_s(
                context.service,
                earliest_s=RETRY_AFTER_REJECTED_S,
                per_s=self._places.per_s(context.service, servers),
                left_s=context.caller_deadline - now,
                now=now,
            )
        held = [
            one for one in servers if self._pauses.is_held(one.instance, now)
        ]
        if wait_s is not None and held:
            reason = f'{reason}; {len(held)} have no permit left'
            wait_s = self._retry_schedule.wait_s(
                context.service,
                earliest_s=self._pauses.wait_s(names, now),
                per_s=sum(
                    self._permits.own_per_s(server.server_instance)
                    for server in held
                ),
                left_s=context.caller_deadline - now,
                now=now,
            )
        return NoServerError(reason, retry_after_s=wait_s or default_s)

    def _candidates(
        self, service: str, excluded: Collection[str], version: str | None
    ) -> dict[str, BackendServer]:
        limit = self._connection_limit(service)
        is_bounded = self._places.is_bounded(service)
        now = self._clock()
        return {
            server.instance: server
            for server in self._directory.of_service(service)
            if server.instance not in excluded
            and version in {None, server.version}
            and not self._pauses.is_paused(server.instance, now)
            and self._pool.in_use(server.address) < limit
            and (not is_bounded or self._places.has_free(server))
        }

    async def _start(
        self,
        context: RequestContext,
        trace: RequestTrace,
        server: BackendServer,
        connection: ServerConnection,
        extra_headers: Sequence[tuple[str, str]],
    ) -> Attempt:
        """Send the request; return the connection to the pool if that fails."""
        with ExitStack() as undo:
            undo.callback(self._pool.give_back, server, connection)
            undo.callback(self._places.give_back, server.server_instance)
            now = self._clock()
            if now >= context.deadline:
                self._permits.give_back(server.server_instance)
                raise NoServerError('no time is left')
            data = self._encode(context, server, extra_headers, now)
            limit_mark = self._limits.mark(server.server_instance)
            await connection.send(data, context.request_id)
            undo.pop_all()
        trace.note_sent(
            server.instance, self._clock() - context.request.received_at
        )
        trace.expected_s = self._chooser.expected_s(
            _candidate(server), context.work, now
        )
        waiting_tokens = self._chooser.waiting_tokens(server.instance)
        unread = self._chooser.started(server.instance, context.work)
        self._loads.changed()
        return Attempt(
            context=context,
            server=server,
            connection=connection,
            unread_tokens=unread,
            sent_at=now,
            waiting_tokens=waiting_tokens,
            limit_mark=limit_mark,
        )

    def _encode(
        self,
        context: RequestContext,
        server: BackendServer,
        extra_headers: Sequence[tuple[str, str]],
        now: float,
    ) -> bytes:
        names = self._names
        left_ms = max(1, int((context.deadline - now) * MS_PER_S))
        own_headers = [
            (names.deadline_ms, b'%d' % left_ms),
            (names.target_instance, _encoded(server.instance)),
        ]
        # These texts were decoded as Latin-1, so that no byte changes.
        own_headers += [
            (name, text.encode('latin-1')) for name, text in extra_headers
        ]
        if context.workspace is not None:
            own_headers.append((names.workspace, _encoded(context.workspace)))
        if context.work.is_prompt:
            own_headers.append(
                (names.server_priority, str(context.priority).encode())
            )
        request = context.request
        dropped = [
            *(name for name, _ in own_headers),
            names.workspace,
            names.caller_key,
            names.server_priority,
            *names.callers_never_set,
        ]
        kept = [names.request_id, names.token_bounds, names.prompt_parts]
        forwarded = end_to_end(request.headers, dropped, kept)
        lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
        lines += [b'%b: %b' % header for header in forwarded]
        lines += [
            b'%b: %b' % (name.encode(), text) for name, text in own_headers
        ]
        if request.body or request.method not in {b'GET', b'HEAD'}:
            lines.append(b'Content-Length: %d' % len(request.body))
        return b'\r\n'.join((*lines, b'', request.body))


def _candidate(server: BackendServer) -> Candidate:
    return Candidate(
        name=server.instance,
        zone=server.zone,
        slots=server.slots,
        service=server.service,
    )


def _of_version(version: str | None) -> str:
    return '' if version is None else f' at version {version}'


def _encoded(name: str) -> bytes:
    """Return a header's value in UTF-8.

    Control characters, which could begin another header, become question marks.
    """
    return CONTROL_CHARACTERS.sub('?', name).encode(errors='replace')
