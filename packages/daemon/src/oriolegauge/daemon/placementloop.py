"""Load and unload models on engines by placement goals and demand.

One member steps the placer for each model. If two members take themselves
for the responsible one, leases in the store let only one of them send orders.
"""

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
    """Send the placer's commands to engines as orders."""

    def __init__(
        self, *, pool: ServerPool, engines: EngineClient, sender: OrderSender
    ) -> None:
        """Send orders with `sender`, read loaded models with `engines`."""
        self._pool = pool
        self._engines = engines
        self._sender = sender

    async def send(
        self, server: str, command: Command, *, send_before: float
    ) -> None:
        """Send the command and return when the engine has finished it.

        Raise CommandNotSentError or CommandRejectedError.
        """
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
        log.info(
            'engine order finished', server=server, kind=command.kind.value
        )

    async def loaded(self, server: str) -> frozenset[str]:
        """Return the models that the engine reports as loaded."""
        report = await self._engines.control(
            self._server(server), 'GET', '/v1/models'
        )
        return frozenset(row['id'] for row in report['data'])

    def _server(self, name: str) -> BackendServer:
        for server in self._pool.engines():
            if server.name == name:
                return server
        raise CommandNotSentError(f'server {name} is not configured')


class PlacementLoop:
    """Step the placer for the models assigned to this member.

    Rendezvous hashing assigns each model to one of the owning members.
    """

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
        """Act as member `name`; `clock` is in seconds."""
        self._name = name
        self._placer = placer
        self._tree = tree
        self._pool = pool
        self._queue = queue
        self._mesh = mesh
        self._clock = clock

    async def run(self) -> None:
        """Step the placer periodically until cancelled."""
        while True:
            await asyncio.sleep(STEP_PERIOD_S)
            owners = self._mesh.view().owners
            for model in self._tree.servers.goals:
                if first(f'placement/{model}', owners) == self._name:
                    await self._step(model)

    async def release_leases(self) -> None:
        """Release all placement leases when the daemon drains."""
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
            # The balancer spreads callers evenly, so the fleet's queue is
            # estimated as this daemon's queue times the number of members.
            waiting={
                model: tokens * members for model, tokens in waiting.items()
            },
        )
