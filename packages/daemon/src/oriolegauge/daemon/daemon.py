"""Assemble the parts of one daemon and run them until it is drained."""

import asyncio
import random
import secrets
import time
from typing import Any

import aiohttp
import structlog

from oriolegauge.backends import EngineClient, OrderSender, ServiceClient
from oriolegauge.budget import BudgetManager
from oriolegauge.config import ConfigFollower, ConfigTree, DaemonSettings
from oriolegauge.config.tlscontexts import (
    peer_client_context,
    peer_server_context,
)
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.priority import Priority
from oriolegauge.daemon.adminapi import AdminApi
from oriolegauge.daemon.callerapi import CallerApi
from oriolegauge.daemon.completions import Completions
from oriolegauge.daemon.crashguard import CrashGuard
from oriolegauge.daemon.deadholders import DeadHolders
from oriolegauge.daemon.dispatcher import Dispatcher
from oriolegauge.daemon.forwarder import Forwarder
from oriolegauge.daemon.heartbeats import Heartbeats
from oriolegauge.daemon.httpports import HttpPorts
from oriolegauge.daemon.lostgrants import LostGrants
from oriolegauge.daemon.meshpeers import MeshBudgetPeers, MeshConfigPeers
from oriolegauge.daemon.meshrelay import MeshRelay
from oriolegauge.daemon.metrics import Metrics
from oriolegauge.daemon.peerhandler import PeerHandler
from oriolegauge.daemon.placementloop import EngineOrders, PlacementLoop
from oriolegauge.daemon.requests import Requests
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.daemon.serverwatch import ServerWatch
from oriolegauge.daemon.servicecalls import ServiceCalls
from oriolegauge.daemon.supervise import supervise
from oriolegauge.ledger import IntentLog, RequestLedger
from oriolegauge.membership import LeavingServers
from oriolegauge.mesh import PeerMesh
from oriolegauge.mesh.lifecycle import Lifecycle
from oriolegauge.objectstore.httpobjectstore import HttpObjectStore
from oriolegauge.objectstore.relayedstore import RelayedStore
from oriolegauge.placement import PlacementSettings, Placer

DRAIN_POLL_S = 0.05
# Outcomes of intents that are not stored within this time stay unknown.
INTENT_FLUSH_S = 5.0
INCARNATION_BYTES = 6

log = structlog.get_logger()


class Daemon:
    """Run one router daemon until it is drained."""

    def __init__(
        self, settings: DaemonSettings, session: aiohttp.ClientSession
    ) -> None:
        """Assemble the parts; requires a running event loop."""
        self._settings = settings
        clock = asyncio.get_running_loop().time
        rng = random.Random()
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._holder = f'{settings.name}/{incarnation}'
        self._lifecycle = Lifecycle()
        self._tree = ConfigTree()
        self._drain_requested = asyncio.Event()
        self._ports = HttpPorts(settings)
        self._metrics = Metrics(self._gauges)
        self._clock = clock

        peer_tls = settings.peer_tls
        self._mesh = PeerMesh(
            settings=settings,
            incarnation=incarnation,
            session=session,
            handler=self._answer_peer,
            clock=clock,
            server_ssl=peer_server_context(peer_tls) if peer_tls else None,
            client_ssl=peer_client_context(peer_tls) if peer_tls else None,
        )
        self._direct_store = HttpObjectStore(
            url=settings.store_url,
            session=session,
            timeout_s=settings.store_timeout_s,
        )
        self._store = RelayedStore(
            direct=self._direct_store,
            relay=MeshRelay(mesh=self._mesh, name=settings.name),
            clock=clock,
        )
        self._follower = ConfigFollower(
            settings=settings,
            tree=self._tree,
            store=self._store,
            peers=MeshConfigPeers(self._mesh),
            clock=clock,
            rng=rng,
            on_applied=self._config_applied,
        )
        self._budgets = BudgetManager(
            store=self._store,
            holder=self._holder,
            shard_count=settings.budget_shards,
            clock=clock,
            peers=MeshBudgetPeers(self._mesh),
            zone=settings.zone,
            rng=rng,
        )
        # Stored intents expire by age, so they carry Unix time.
        self._intents = IntentLog(
            store=self._store,
            holder=self._holder,
            shard_count=settings.intent_shards,
            clock=time.time,
        )
        self._leaving = LeavingServers()
        pool = ServerPool(tree=self._tree, is_leaving=self._leaving.is_leaving)
        engines = EngineClient(
            session=session, idle_timeout_s=settings.engine_idle_timeout_s
        )
        self._server_watch = ServerWatch(
            tree=self._tree,
            pool=pool,
            engines=engines,
            store=self._store,
            leaving=self._leaving,
            reads_host_list=lambda: self._follower.watching,
            clock=clock,
        )
        self._dispatcher = Dispatcher(
            pool=pool, zone=settings.zone, rng=rng, clock=clock
        )
        self._queue = self._dispatcher.queue
        self._placement = PlacementLoop(
            name=settings.name,
            placer=Placer(
                store=self._store,
                servers=EngineOrders(
                    pool=pool,
                    engines=engines,
                    sender=OrderSender(
                        clock=clock,
                        order_max_s=PlacementSettings().command_max_s,
                    ),
                ),
                leader=self._holder,
                clock=clock,
            ),
            tree=self._tree,
            pool=pool,
            queue=self._queue,
            mesh=self._mesh,
            clock=clock,
        )
        self._guard = CrashGuard(
            origin=self._holder,
            name=settings.name,
            mesh=self._mesh,
            clock=clock,
        )
        self._requests = self._build_requests(engines, session)
        self._callers = CallerApi(
            settings=settings,
            tree=self._tree,
            lifecycle=self._lifecycle,
            requests=self._requests,
            forwarder=Forwarder(mesh=self._mesh, name=settings.name),
            metrics=self._metrics,
        )
        self._peer_handler = PeerHandler(
            budgets=self._budgets,
            tree=self._tree,
            guard=self._guard,
            store=self._direct_store,
            serve=self._callers.serve_forwarded,
            on_heartbeat=self._follower.request_check,
        )
        self._heartbeats = Heartbeats(
            member=settings.name,
            incarnation=incarnation,
            zone=settings.zone,
            lifecycle=self._lifecycle,
            tree=self._tree,
            follower=self._follower,
            queue=self._queue,
            server_watch=self._server_watch,
            mesh=self._mesh,
            clock=clock,
        )
        self._dead_holders = DeadHolders(
            holder=self._holder,
            mesh=self._mesh,
            budgets=self._budgets,
            store=self._store,
            clock=clock,
        )

    async def run(self) -> None:
        """Serve until the daemon is drained."""
        await self._listen()
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(supervise(job))
                for job in (
                    self._run_mesh,
                    self._follower.run,
                    self._become_ready,
                    self._flush_periodically,
                    self._dead_holders.run,
                    self._server_watch.run,
                    self._placement.run,
                    self._queue.expire_periodically,
                )
            ]
            await self._drain_requested.wait()
            await self._finish_requests()
            await self._return_grants()
            for task in tasks:
                task.cancel()
        await self._close()

    def start_drain(self) -> None:
        """Start the drain; repeated calls have no effect."""
        self._lifecycle.drain()
        self._drain_requested.set()

    def state(self) -> dict[str, Any]:
        """Return the state dump; it holds no prompts, answers or keys."""
        follower = self._follower.state()
        now = self._clock()
        return {
            'name': self._settings.name,
            'zone': self._settings.zone,
            'holder': self._holder,
            'lifecycle': self._lifecycle.state,
            'open_requests': self._callers.open_requests,
            'running_keyed': self._requests.running,
            'config_current': follower.config_current,
            'config_versions': self._tree.versions,
            'config_refused_lower': follower.refused_lower,
            'config_refused_invalid': follower.refused_invalid,
            'config_store_behind': follower.store_behind,
            'store_calls': self._direct_store.calls,
            'store_relayed': self._store.is_relaying,
            'members': {
                name: member.state
                for name, member in self._mesh.view().members.items()
            },
            'leaving_servers': sorted(self._leaving.leaving()),
            'quarantined': len(self._guard.quarantined),
            'budgets': self._budgets.state(),
            'loop_time_s': now,
            **self._queue.state(),
        }

    def _build_requests(
        self, engines: EngineClient, session: aiohttp.ClientSession
    ) -> Requests:
        grants = LostGrants(
            budgets=self._budgets, mesh=self._mesh, clock=self._clock
        )
        return Requests(
            completions=Completions(
                budgets=self._budgets,
                grants=grants,
                engines=engines,
                dispatcher=self._dispatcher,
                guard=self._guard,
                default_max_tokens=lambda: (
                    self._tree.limits_for(self._settings).default_max_tokens
                ),
            ),
            services=ServiceCalls(
                tree=self._tree,
                budgets=self._budgets,
                grants=grants,
                services=ServiceClient(session=session),
                dispatcher=self._dispatcher,
            ),
            ledger=RequestLedger(),
            intents=self._intents,
            clock=self._clock,
        )

    async def _run_mesh(self) -> None:
        await self._mesh.run(
            self._heartbeats.build, self._heartbeats.apply_peer_reports
        )

    async def _answer_peer(self, sender, message):
        return await self._peer_handler.answer(sender, message)

    def _config_applied(self, key: str) -> None:
        log.info(
            'configuration applied', key=key, version=self._tree.version(key)
        )
        self._server_watch.apply_config()
        self._apply_limits()

    def _apply_limits(self) -> None:
        limits = self._tree.limits_for(self._settings)
        lengths = limits.queue_lengths
        self._queue.set_waiting_limits(
            {
                Priority.URGENT: lengths.urgent,
                Priority.NORMAL: lengths.normal,
                Priority.BATCH: lengths.batch,
            }
        )
        self._dispatcher.set_shares(
            retry=limits.retry_share, hedge=limits.hedge_share
        )

    def _gauges(self) -> dict[str, float]:
        return {
            'config_current': float(self._follower.current(self._clock())),
            'open_requests': self._callers.open_requests,
            'members_alive': len(self._mesh.view().members),
            'store_calls': self._direct_store.calls,
            'quarantined_requests': len(self._guard.quarantined),
            **{
                f'waiting_{name}': count
                for name, count in self._queue.waiting.items()
            },
        }

    async def _listen(self) -> None:
        settings = self._settings
        admin = AdminApi(
            lifecycle=self._lifecycle,
            tree=self._tree,
            metrics=self._metrics,
            state=self.state,
            config_current=lambda: self._follower.current(self._clock()),
            start_drain=self.start_drain,
        )
        # The peer port opens first, because peers take a refused connection
        # there as proof that the process ended.
        await self._mesh.listen()
        await self._ports.open(
            admin.application(), settings.admin_port, settings.admin_tls
        )
        await self._ports.open(
            self._callers.application(),
            settings.caller_port,
            settings.caller_tls,
        )
        log.info('listening', name=settings.name, port=settings.caller_port)

    async def _become_ready(self) -> None:
        await self._follower.wait_ready()
        self._server_watch.apply_config()
        self._lifecycle.serve()
        log.info('serving', name=self._settings.name)

    async def _flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._settings.flush_period_s)
            try:
                await self._budgets.flush(due_only=True)
            except OriolegaugeError as error:
                log.warning('budgets not flushed', error=error.message)

    async def _finish_requests(self) -> None:
        """Accept requests for the drain notice, then finish the running ones.

        Meanwhile the balancer sees that the daemon is no longer ready.
        """
        await asyncio.sleep(self._settings.drain_notice_s)
        self._lifecycle.finish()
        self._callers.refuse_uploads()
        while self._callers.open_requests or self._requests.running:
            await asyncio.sleep(DRAIN_POLL_S)

    async def _return_grants(self) -> None:
        try:
            async with asyncio.timeout(INTENT_FLUSH_S):
                await self._intents.flush()
        except TimeoutError:
            log.warning('intent outcomes not stored')
        await self._placement.release_leases()
        await self._budgets.drain()
        await self._intents.close()

    async def _close(self) -> None:
        await self._ports.close()
        # The peer port closes last: peers must reach it until all grants are
        # returned.
        await self._mesh.close()
        self._lifecycle.stop()
        log.info('drained', name=self._settings.name)
