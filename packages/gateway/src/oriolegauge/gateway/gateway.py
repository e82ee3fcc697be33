"""A gateway daemon: connects its parts, runs them and drains on shutdown."""

import asyncio
import math
import random
import secrets
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from functools import partial
from typing import Any, Protocol

import aiohttp
import orjson
import structlog

from oriolegauge.admission import HostLink
from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.core.supervisor import Job, run_supervised
from oriolegauge.forwarding import (
    BackendServer,
    CallerLimits,
    Forwarder,
    ForwardingConfig,
    HeaderNames,
    RouteTable,
    StateVersions,
)
from oriolegauge.forwarding.connectionpool import ConnectionPool
from oriolegauge.forwarding.crashdetector import CrashDetector
from oriolegauge.forwarding.dispatcher import Dispatcher
from oriolegauge.forwarding.evacuatedzones import zones_of
from oriolegauge.forwarding.forwardmetrics import ForwardMetrics
from oriolegauge.forwarding.leavinginstances import LeavingInstance
from oriolegauge.forwarding.serversignals import ServerSignals
from oriolegauge.gateway.callerports import CallerPorts
from oriolegauge.gateway.fleetlayout import heartbeat_period_s
from oriolegauge.gateway.fleetlinks import FleetLinks
from oriolegauge.gateway.gatewaysettings import GatewaySettings
from oriolegauge.gateway.grantlinks import GrantLinks
from oriolegauge.gateway.httpchecks import HttpChecks
from oriolegauge.gateway.kindfollower import KindFollower
from oriolegauge.gateway.knownservers import KnownServers
from oriolegauge.gateway.limitexchange import LimitExchange
from oriolegauge.gateway.memberregistration import (
    GatewayStore,
    MemberRegistration,
)
from oriolegauge.gateway.missingservergrace import missing_kept_until
from oriolegauge.gateway.rankedmembers import FleetMember, capacity_class
from oriolegauge.gateway.relaypeers import FleetRelayPeers, fleet_relay
from oriolegauge.gateway.shareddocuments import Document, SharedDocuments
from oriolegauge.gateway.storerecords import StoreRecords
from oriolegauge.gateway.versionexchange import VersionExchange
from oriolegauge.grants import GrantKeeper, GrantProcess, HostClocks
from oriolegauge.mesh import PeerMesh
from oriolegauge.mesh.lifecycle import Lifecycle
from oriolegauge.routing.crashsuspects import CrashSuspects
from oriolegauge.routing.retrybudgets import RetryBudgets
from oriolegauge.routing.serverchooser import ServerChooser

SETTLE_PAUSE_S = 0.05
PRUNE_PERIOD_S = 0.5
# Connections of one daemon to a server, as a multiple of its equal share of the
# server's limit. Above 1 since traffic is uneven over daemons.
CONNECTION_SHARE = 2.0
MIN_CONNECTIONS = 8
# Part of the fleet's retry slack that is divided among the daemons.
RETRY_SLACK_SHARE = 0.8
# Share of the host's memory for buffered replies of servers.
REPLY_BUFFER_SHARE = 0.06
# A daemon whose store does not answer waits this long for a peer that knows
# the evacuations: heartbeats of a large fleet come every 0.75 s, and a fetch
# takes up to 2 s.
EVACUATIONS_WAIT_S = 3.0
# Members change rarely, and daemons that don't know a new one yet still link it
# while it sends them heartbeats.
MEMBERS_POLL_S = 10.0
MEMBERS_MAX_AGE_S = 30.0
# Share for the bodies of requests that wait for a slot of a server.
WAITING_BUFFER_SHARE = 0.04
RELOADABLE = ('grace_s', 'retry_share', 'retry_slack')

log = structlog.get_logger()


class Decoder(Protocol):
    """Parse the objects that operators and servers write to the store."""

    def config(self, objects: Iterable[Mapping[str, Any]]) -> ForwardingConfig:
        """Return the configuration; raise ValueError if it is invalid."""

    def servers(
        self, objects: Iterable[Mapping[str, Any]]
    ) -> list[BackendServer]:
        """Return the servers whose entries can be read."""


class Gateway:
    """One daemon of a fleet; runs until it is drained."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        names: HeaderNames,
        store: GatewayStore,
        decoder: Decoder,
        session: aiohttp.ClientSession,
        host_clocks: HostClocks,
    ) -> None:
        """Connect the parts; `session` is used for calls to peers."""
        self._settings = settings
        self._store = store
        self._decoder = decoder
        self._loop = asyncio.get_running_loop()
        self._clock: Callable[[], float] = self._loop.time
        self._rng = random.Random()
        self._incarnation = secrets.token_hex(6)
        self._drain_requested = asyncio.Event()
        self._drain_began_at: float | None = None
        self.lifecycle = Lifecycle()
        known = KnownServers(
            clock=self._clock,
            host_clocks=host_clocks,
            rng=self._rng,
            on_leaving_instance=self._note_leaving_instance,
            on_limit=self._note_limit,
            # Peers are not told, as they derive the change themselves.
            on_cold=lambda: self._permits.changed(),
            on_reach=lambda: self._links.announce_change(),
            on_brittle=lambda: self._links.announce_change(),
        )
        self._reach = known.reach
        self._leaving_instances = known.leaving_instances
        self._directory = known.directory
        self._evacuated_zones = known.evacuated_zones
        self._pauses = known.pauses
        self._cold_servers = known.cold
        self._limits = known.limits
        self._brittle_services = known.brittle
        self._crash_suspects = CrashSuspects(
            clock=_boot_clock(host_clocks),
            has_turn=lambda number: self._links.has_turn(number),
            on_change=lambda: self._links.announce_change(),
        )
        self._chooser = ServerChooser(
            zone=settings.zone,
            rng=self._rng,
            adapts_to_load=settings.adapts_to_load,
        )
        self._link = HostLink(mbps=settings.link_mbps, clock=self._clock)
        self._pool = ConnectionPool(
            request_id_header=names.request_id,
            connect_timeout_s=settings.connect_timeout_s,
            on_connected=lambda name, **result: self._chooser.connected(
                name, now=self._clock(), **result
            ),
            signals=ServerSignals(
                names=names,
                leaving_instances=self._leaving_instances,
                pauses=self._pauses,
                limits=self._limits,
                clock=self._clock,
            ),
            reach=self._reach,
            traffic=self._link,
            idle_limit=self._idle_limit,
        )
        self._documents = SharedDocuments(
            self._apply_document,
            rank=self._document_rank,
            clock=_boot_clock(host_clocks),
        )
        own = FleetMember(
            name=settings.name,
            zone=settings.zone,
            capacity_class=capacity_class(
                cores=settings.cores, link_mbps=settings.link_mbps
            ),
        )
        self._links = FleetLinks(
            own=own,
            incarnation=self._incarnation,
            documents=self._documents,
            leaving_instances=self._leaving_instances,
            server_limits=self._limits,
            crash_suspects=self._crash_suspects,
            chooser=self._chooser,
            state=lambda: self.lifecycle.state,
            reaches_store=self._reaches_store,
            clock=self._clock,
        )
        self._links.loads.adapt_to_link(settings.link_mbps)
        self._permits = LimitExchange(
            links=self._links,
            limits=self._limits,
            rng=self._rng,
            clock=_boot_clock(host_clocks),
        )
        self._links.attach_limits(self._permits)
        self._records = StoreRecords(
            store=store,
            settings=settings,
            is_writer=lambda: self._links.limiter() is None,
            host_clocks=host_clocks,
        )
        self._longest_stream_s = math.inf
        self._knows_evacuations = settings.evacuations_kind is None
        self._versions = VersionExchange(
            links=self._links,
            in_service=self._versions_in_service,
            longest_stream_s=lambda: self._longest_stream_s,
            is_first_start=settings.is_first_start,
            on_change=self._records.announce_versions,
            clock=_boot_clock(host_clocks),
        )
        self._links.attach_versions(self._versions)
        self._grant_links = GrantLinks(name=settings.name, links=self._links)
        self._keeper = GrantKeeper(
            store=store,
            kind=settings.grants_kind,
            process=GrantProcess(
                host=settings.name,
                holder=f'{settings.name}/{self._incarnation}',
                is_first_start=settings.is_first_start,
            ),
            peers=self._grant_links,
            prepaid=self._prepaid,
            reaches_store=self._followers_reach_store,
            clock=self._clock,
            host_clocks=host_clocks,
            rng=self._rng,
        )
        self._followers = {
            kind: KindFollower(
                store=store,
                kind=kind,
                documents=self._documents,
                max_reading_age_s=settings.max_reading_age_s,
                clock=self._clock,
                is_watcher=self._links.is_watcher,
                is_leader=self._links.is_leader,
                on_store_regained=self._keeper.store_regained,
                on_first_attempt=partial(self._apply_held_document, kind),
            )
            for kind in (
                settings.config_kind,
                settings.server_kind,
                settings.evacuations_kind,
            )
            if kind
        }
        self._links.attach_watch(self._watches_store)
        self._links.attach_relay(self._reach, settings.relay_port)
        self._links.attach_brittle_services(self._brittle_services)
        if settings.evacuations_kind:
            self._links.add_later_document(settings.evacuations_kind)
        self._mesh = PeerMesh(
            settings=settings,
            incarnation=self._incarnation,
            session=session,
            handler=self._links.answer,
            clock=self._clock,
            is_member=_is_peer_name,
            heartbeat_period_s=self._heartbeat_period_s,
        )
        self._links.attach(self._mesh, self._grant_links.answer)
        self._grant_links.attach(self._keeper)
        self._metrics = ForwardMetrics(self._gauges)
        self._checks = HttpChecks(
            is_ready=self._is_ready,
            metrics=self._metrics,
            explain=lambda *query: self._forwarder.explain(*query),
        )
        self._registration = MemberRegistration(
            store=store, kind=settings.member_kind, own=own
        )
        self._members = KindFollower(
            store=store,
            kind=settings.member_kind,
            documents=self._documents,
            max_reading_age_s=MEMBERS_MAX_AGE_S,
            long_poll_s=MEMBERS_POLL_S,
            clock=self._clock,
            is_watcher=self._links.is_watcher,
            is_leader=self._links.is_leader,
            on_store_regained=lambda: None,
            on_first_attempt=lambda: None,
        )
        self._links.add_later_document(settings.member_kind)
        self._retries = RetryBudgets(
            rng=self._rng,
            share=settings.retry_share,
            max_credit=self._retry_credit,
        )
        buffers = ByteBudget(int(settings.memory_bytes * REPLY_BUFFER_SHARE))
        dispatcher = Dispatcher(
            directory=self._directory,
            chooser=self._chooser,
            pool=self._pool,
            names=names,
            loads=self._links.loads,
            pauses=self._pauses,
            limits=self._limits,
            permits=self._permits,
            crashes=CrashDetector(
                probe=self._pool, suspects=self._crash_suspects
            ),
            connection_limit=self._connection_limit,
        )
        dispatcher.share_places(
            known.divide_places(settings.name, self._links.place_holders)
        )
        self._forwarder = Forwarder(
            names=names,
            dispatcher=dispatcher,
            budget=self._keeper,
            buffers=buffers,
            link=self._link,
            metrics=self._metrics,
            state_versions=self._state_versions,
            retries=self._retries,
            versions=self._versions,
            rng=self._rng,
        )
        if settings.adapts_to_load:
            self._forwarder.adapt_to_load(
                loads=self._links.loads,
                members=lambda: self._links.members,
                max_bytes=int(settings.memory_bytes * WAITING_BUFFER_SHARE),
            )
        self._relay = fleet_relay(
            peers=FleetRelayPeers(
                links=self._links,
                documents=self._documents,
                config_kind=settings.config_kind,
                may_serve=known.has_place,
            ),
            servers=known,
            pool=self._pool,
            names=names,
            buffers=buffers,
            link=self._link,
            rng=self._rng,
        )
        self._forwarder.relay_by(self._relay)
        self._ports = CallerPorts(
            settings=settings,
            forwarder=self._forwarder,
            limits=self._caller_limits,
            link=self._link,
        )

    def start_drain(self) -> None:
        """Begin a graceful shutdown; `run` returns when it is complete.

        The grace period counts from the first call.
        """
        if self._drain_began_at is None:
            self._drain_began_at = self._clock()
        self._drain_requested.set()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the settings in RELOADABLE; others need a restart."""
        changed = {
            name: getattr(settings, name)
            for name in RELOADABLE
            if getattr(settings, name) != getattr(self._settings, name)
        }
        self._settings = replace(self._settings, **changed)
        self._retries.share = self._settings.retry_share
        log.info('reload', changed=changed)

    async def run(self) -> None:
        """Serve until drained."""
        settings = self._settings
        log.info('start', member=settings.name, incarnation=self._incarnation)
        await self._checks.serve_ready(settings.ready)
        if settings.metrics:
            await self._checks.serve_metrics(settings.metrics)
        await self._mesh.listen()
        await self._ports.listen()
        tasks = [
            asyncio.create_task(run_supervised(job)) for job in self._jobs()
        ]
        await self._drain_requested.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._close()
        log.info('stop', member=settings.name)

    def _jobs(self) -> list[Job]:
        return [
            self._run_links,
            self._registration.run,
            self._members.run,
            self._keeper.run,
            self._keeper.run_reserve,
            self._links.loads.run,
            self._links.loads.run_sums,
            self._permits.run,
            self._versions.run,
            self._prune_connections,
            *self._records.jobs(
                limits=self._limits,
                suspects=self._crash_suspects,
                versions=self._versions,
            ),
            *(follower.run for follower in self._followers.values()),
        ]

    async def _run_links(self) -> None:
        await self._mesh.run(
            self._links.heartbeat, self._links.apply_heartbeats
        )

    async def _close(self) -> None:
        await self._mesh.close()
        await self._checks.close()
        self.lifecycle.stop()

    async def _drain(self) -> None:
        began_at = self._drain_began_at or self._clock()
        plan = self._settings.drain_plan(began_at)
        self.lifecycle.drain()
        log.info('drain', running=self._forwarder.running)
        self._forwarder.drain(plan)
        self._ports.drain()
        await asyncio.sleep(plan.listener_closes_at - self._clock())
        await self._ports.close()
        await self._ports.wait_until_closed(plan.idle_closes_at)
        self._ports.close_idle()
        await self._ports.wait_until_closed(plan.answers_until)
        self._ports.refuse_unfinished()
        # Requests that were given up settle their tokens and are answered.
        await asyncio.sleep(SETTLE_PAUSE_S)
        log.info(
            'drained',
            running=self._forwarder.running,
            connections=self._ports.connections,
        )
        self.lifecycle.finish()
        await asyncio.gather(
            self._return_grants(plan.closed_by),
            self._ports.wait_until_closed(plan.flushed_by),
        )
        self._pool.close()

    async def _return_grants(self, until: float) -> None:
        try:
            async with asyncio.timeout_at(until):
                await self._keeper.close()
        except TimeoutError:
            log.warning('grants not returned in time; they count as spent')

    async def _prune_connections(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_PERIOD_S)
            self._pool.prune(self._directory.servers)
            self._cold_servers.expire()

    def _apply_held_document(self, kind: str) -> None:
        """Apply a document that peers sent before the first store call."""
        document = self._documents.get(kind)
        if document:
            self._apply_document(kind, document)
        elif kind == self._settings.evacuations_kind:
            # Peers may know them if the store does not answer.
            self._loop.call_later(
                EVACUATIONS_WAIT_S, self._note_evacuations_known
            )

    def _apply_document(self, key: str, document: Document) -> None:
        if key == self._settings.member_kind:
            self._links.list_members(
                self._registration.listed(orjson.loads(document.payload))
            )
            self._links.announce_change()
            return
        follower = self._followers.get(key)
        # Later builds may exchange documents that this one does not know.
        if follower is None or not follower.has_tried_store:
            return
        objects = orjson.loads(document.payload)
        self._links.announce_change()
        if key == self._settings.config_kind:
            self._apply_config(objects, document)
        elif key == self._settings.evacuations_kind:
            self._apply_evacuations(key, objects, document)
        elif key == self._settings.server_kind and self._knows_evacuations:
            self._apply_servers(objects, document)
        if self._forwarder.route_table is not None and self._directory.is_known:
            self.lifecycle.serve()

    def _document_rank(self, key: str, document: Document) -> int | None:
        """Return the version of a configuration, else 0; None if invalid."""
        if key == self._settings.evacuations_kind:
            return self._evacuations_rank(key, document)
        if key != self._settings.config_kind:
            return 0
        try:
            return self._decoder.config(orjson.loads(document.payload)).version
        except ValueError as error:
            log.warning('configuration rejected', error=str(error))
            return None

    def _evacuations_rank(self, key: str, document: Document) -> int | None:
        try:
            zones_of(key, orjson.loads(document.payload))
        except ValueError as error:
            log.warning(
                'evacuations rejected',
                source=document.source,
                error=str(error),
            )
            return None
        return 0

    def _apply_evacuations(
        self,
        kind: str,
        objects: list[Mapping[str, Any]],
        document: Document,
    ) -> None:
        if self._evacuated_zones.apply(
            zones_of(kind, objects),
            revision=document.revision,
            source=document.source,
            age_s=self._documents.readings.age_s(kind),
        ):
            self._versions.servers_changed()
        self._note_evacuations_known()

    def _note_evacuations_known(self) -> None:
        """Use the servers from now on: no request may go where none should."""
        if not self._knows_evacuations:
            self._knows_evacuations = True
            self._apply_held_document(self._settings.server_kind)
        self._report_unknown_zones()

    def _report_unknown_zones(self) -> None:
        if self._directory.is_known:
            zones = {server.zone for server in self._directory.servers}
            self._evacuated_zones.report_unknown(zones | self._links.zones)

    def _apply_config(
        self, objects: list[Mapping[str, Any]], document: Document
    ) -> None:
        try:
            config = self._decoder.config(objects)
        except ValueError as error:
            log.warning('configuration rejected', error=str(error))
            return
        held = self._forwarder.route_table
        if held and config.version <= held.config.version:
            return
        route_table = RouteTable(config)
        self._forwarder.set_route_table(route_table)
        self._chooser.note_memory(
            {one.name: one.memory_tokens for one in config.services}
        )
        self._cold_servers.config_changed(config)
        self._note_longest_stream(route_table)
        self._versions.servers_changed()
        log.info(
            'configuration in force',
            version=config.version,
            revision=document.revision,
            source=document.source,
            routes=len(config.routes),
        )

    def _apply_servers(
        self, objects: list[Mapping[str, Any]], document: Document
    ) -> None:
        servers = self._decoder.servers(objects)
        self._cold_servers.servers_changed(servers)
        # A restored list may have them as ready again.
        self._leaving_instances.learn(
            [
                LeavingInstance(server.server_instance, 0)
                for server in servers
                if server.is_leaving and server.started_ms
            ],
            document.source,
        )
        restarted = self._directory.replace(
            servers,
            keep_missing_until=missing_kept_until(
                self._followers.values(), self._clock()
            ),
        )
        for name in restarted:
            self._links.loads.restarted(name)
            self._pauses.forget(name)
        self._pauses.keep_only(self._directory.instances)
        self._limits.keep(
            {server.server_instance for server in self._directory.servers}
        )
        self._links.loads.keep_only(self._directory.instances)
        self._pool.prune(self._directory.servers)
        self._versions.servers_changed()
        log.info(
            'servers changed',
            revision=document.revision,
            source=document.source,
            servers=len(servers),
            leaving=[
                server.instance for server in servers if server.is_leaving
            ],
        )
        self._report_unknown_zones()

    def _versions_in_service(self) -> Mapping[str, Mapping[str, int]]:
        """Count the servers of each version, of services with streams."""
        route_table = self._forwarder.route_table
        services = route_table.resumable_services if route_table else ()
        return {
            service: self._directory.versions_of(service)
            for service in services
        }

    def _note_longest_stream(self, route_table: RouteTable) -> None:
        # Streams of an earlier configuration may still be taken up.
        known_s = self._longest_stream_s
        longest_s = route_table.longest_stream_s
        self._longest_stream_s = (
            longest_s if math.isinf(known_s) else max(known_s, longest_s)
        )

    def _is_ready(self) -> bool:
        return self.lifecycle.ready and not self._link.is_congested

    def _heartbeat_period_s(self) -> float:
        return heartbeat_period_s(self._links.members)

    def _followers_reach_store(self) -> bool:
        return not all(
            one.is_store_unavailable for one in self._followers.values()
        )

    def _reaches_store(self) -> bool:
        return (
            self._followers_reach_store()
            and not self._keeper.is_store_unavailable
        )

    def _watches_store(self) -> bool:
        return all(one.is_watching for one in self._followers.values())

    def _note_leaving_instance(self) -> None:
        self._versions.servers_changed()
        self._links.announce_change()

    def _note_limit(self, instance: str) -> None:
        self._pauses.release(instance)
        self._permits.changed()
        self._links.announce_change()

    def _caller_limits(self) -> CallerLimits:
        route_table = self._forwarder.route_table
        return route_table.config.limits if route_table else CallerLimits()

    def _prepaid(self, team: str) -> int | None:
        route_table = self._forwarder.route_table
        workspace = route_table.workspace(team) if route_table else None
        return workspace.prepaid_tokens if workspace else None

    def _connection_limit(self, service: str) -> int:
        route_table = self._forwarder.route_table
        service_config = route_table.service(service) if route_table else None
        if service_config is None:
            return MIN_CONNECTIONS
        even_share = service_config.max_connections / self._links.members
        return max(MIN_CONNECTIONS, int(even_share * CONNECTION_SHARE))

    def _idle_limit(self, service: str) -> int:
        """Return this daemon's equal share of the connections to a server."""
        route_table = self._forwarder.route_table
        service_config = route_table.service(service) if route_table else None
        if service_config is None:
            return 1
        return max(1, service_config.max_connections // self._links.members)

    def _retry_credit(self) -> float:
        slack = self._settings.retry_slack * RETRY_SLACK_SHARE
        return slack / self._links.members

    def _state_versions(self) -> StateVersions:
        route_table = self._forwarder.route_table
        revisions = self._documents.revisions
        return StateVersions(
            config_version=route_table.config.version if route_table else 0,
            servers_revision=revisions.get(self._settings.server_kind, 0),
            store_age_s=max(
                map(self._documents.readings.age_s, self._followers)
            ),
        )

    def _gauges(self) -> Mapping[str, float]:
        return {
            'requests_running': self._forwarder.running,
            'requests_waiting': self._forwarder.waiting,
            'caller_connections': self._ports.caller_connections,
            'request_body_bytes': self._ports.body_bytes,
            'relay_connections': self._ports.peer_connections,
            'requests_relayed': self._relay.running,
            'services_brittle': self._brittle_services.count,
            'services_out_of_reach': len(self._reach.lost_services),
            'peers_linked': self._links.linked,
            'link_congested': float(self._link.is_congested),
            'servers_known': len(self._directory.instances),
            'servers_cold': self._cold_servers.count,
            'zones_evacuated': len(self._evacuated_zones),
            'store_age_seconds': self._state_versions().store_age_s,
            'config_read_age_seconds': self._documents.readings.age_s(
                self._settings.config_kind
            ),
            'kinds_watched': sum(
                one.watches_store for one in self._followers.values()
            ),
            'tokens_held_unspent': sum(self._keeper.free.values()),
        }


def _boot_clock(host_clocks: HostClocks) -> Callable[[], float]:
    return lambda: host_clocks.now().boot_s


def _is_peer_name(name: str) -> bool:
    host, _, port = name.rpartition(':')
    return bool(host) and port.isdigit()
