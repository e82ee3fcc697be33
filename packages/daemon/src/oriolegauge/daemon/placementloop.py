"""Order engines to load what goals and demand ask for."""

import asyncio
from collections.abc import Callable

import structlog

from oriolegauge.backends import (
    BackendServer,
    EngineClient,
    OrderSender,
    ServerConnectError,
    ServerRejectedError,
)
from oriolegauge.config import ConfigTree
from oriolegauge.core import first
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.daemon.serverpool import ServerPool
from oriolegauge.daemon.slotqueue import SlotQueue
from oriolegauge.mesh import PeerMesh
from oriolegauge.placement import (
    Command,
    CommandNotSentError,
    CommandRejectedError,
    ModelGoal,
    PlacementState,
    Placer,
    ServerModelState,
)

STEP_PERIOD_S = 2.0

log = structlog.get_logger()


class EngineOrders:
    """Reach engines for the placer."""

    def __init__(
        self, *, pool: ServerPool, engines: EngineClient, sender: OrderSender
    ) -> None:
        """Send through `sender`, read back through `engines`."""
        self._pool = pool
        self._engines = engines
        self._sender = sender

    async def send(
        self, server: str, command: Command, *, send_before: float
    ) -> None:
        """Send the command and return when it has ended."""
        order = {
            'kind': command.kind.value,
            'model': command.model,
            'version': command.version,
            'fencing': command.fencing,
        }
        try:
            await self._sender.send(
                self._server(server), order, send_before=send_before
            )
        except ServerConnectError as error:
            raise CommandNotSentError(error.message) from error
        except ServerRejectedError as error:
            raise CommandRejectedError(error.message) from error
        log.info('order carried out', server=server, kind=command.kind.value)

    async def loaded(self, server: str) -> frozenset[str]:
        """Return what the engine says it has loaded now."""
        report = await self._engines.control(
            self._server(server), 'GET', '/v1/models'
        )
        return frozenset(row['id'] for row in report['data'])

    def _server(self, name: str) -> BackendServer:
        for server in self._pool.engines():
            if server.name == name:
                return server
        raise CommandNotSentError(f'no server {name} is configured')


class PlacementLoop:
    """Step the placer for the models that this member ranks first for."""

    def __init__(
        self,
        *,
        name: str,
        placer: Placer,
        tree: ConfigTree,
        pool: ServerPool,
        queue: SlotQueue,
        mesh: PeerMesh,
        clock: Callable[[], float],
    ) -> None:
        """Act as member `name`; leases in the store decide in doubt."""
        self._name = name
        self._placer = placer
        self._tree = tree
        self._pool = pool
        self._queue = queue
        self._mesh = mesh
        self._clock = clock

    async def run(self) -> None:
        """Step until cancelled."""
        while True:
            await asyncio.sleep(STEP_PERIOD_S)
            owners = self._mesh.view().owners
            for model in self._tree.servers.goals:
                if first(f'placement/{model}', owners) == self._name:
                    await self._step(model)

    async def release(self) -> None:
        """Give up all leases, as for a drain."""
        try:
            await self._placer.release()
        except OriolegaugeError as error:
            log.info('placement leases not released', error=error.message)

    async def _step(self, model: str) -> None:
        try:
            outcome = await self._placer.step(model, self._situation())
        except OriolegaugeError as error:
            log.info('placement step failed', model=model, error=error.message)
            return
        log.debug('placement step', model=model, outcome=outcome.value)

    def _situation(self) -> PlacementState:
        servers = self._tree.servers
        members = max(1, len(self._mesh.view().members))
        waiting = self._queue.waiting_tokens()
        return PlacementState(
            goals={
                model: ModelGoal(
                    model=model,
                    tokens_per_server=goal.tokens_per_server,
                    min_servers=goal.min_servers,
                    max_servers=goal.max_servers,
                )
                for model, goal in servers.goals.items()
            },
            servers=tuple(
                ServerModelState(
                    name=server.name,
                    loaded=server.models,
                    may_load=frozenset(servers.engines[server.name].may_load),
                    leaving=server.leaving,
                    room=servers.engines[server.name].room,
                )
                for server in self._pool.engines()
            ),
            # The balancer spreads callers evenly, so the own queue stands for
            # those of the other members.
            waiting={
                model: tokens * members for model, tokens in waiting.items()
            },
        )
