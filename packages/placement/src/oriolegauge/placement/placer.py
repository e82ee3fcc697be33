"""Lead the placement of models and send one command at a time."""

from collections.abc import Callable
from enum import StrEnum

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.runstate import RunState
from oriolegauge.objectstore import ObjectStore
from oriolegauge.placement.command import Command, CommandKind, CommandTarget
from oriolegauge.placement.decision import next_move
from oriolegauge.placement.loadpacer import LoadPacer
from oriolegauge.placement.modellease import ModelLease
from oriolegauge.placement.placementsettings import PlacementSettings
from oriolegauge.placement.serverclaims import Claim, ServerClaims
from oriolegauge.placement.situation import Move, PlacementState


class StepResult(StrEnum):
    """State what one step of a model's placement came to."""

    NOT_LEADER = 'not_leader'
    WAITING = 'waiting'
    SETTLED = 'settled'
    SERVER_BUSY = 'server_busy'
    OUTDATED = 'outdated'
    DONE = 'done'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class Placer:
    """Place models on servers through leases and claims in the store.

    `leader` has to be new to each process, as `<daemon>/<incarnation>` is.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        servers: CommandTarget,
        leader: str,
        clock: Callable[[], float],
        settings: PlacementSettings | None = None,
    ) -> None:
        """Use the clock (seconds of `loop.time()`) for all measurements."""
        self._store = store
        self._servers = servers
        self._leader = leader
        self._clock = clock
        self._settings = settings or PlacementSettings()
        self._loading = False
        self._leases: dict[str, ModelLease] = {}
        self._claims = ServerClaims(
            store=store, leader=leader, settings=self._settings, clock=clock
        )
        self._pacer = LoadPacer(
            store=store,
            leader=leader,
            interval_s=self._settings.load_interval_s,
            clock=clock,
        )

    async def step(self, model: str, situation: PlacementState) -> StepResult:
        """Take or renew the lease of the model and send at most one command.

        Steps of one model must not overlap. Raise StoreError if the store
        fails; a command that was not sent by then is not sent at all.
        """
        lease = self._lease(model)
        if not await lease.hold():
            return StepResult.NOT_LEADER
        if not lease.may_command():
            return StepResult.WAITING
        move = next_move(model, situation)
        if move is None:
            return StepResult.SETTLED
        if move.kind.reads_weights:
            return await self._load(lease, move)
        return await self._order(lease, move)

    async def release(self) -> None:
        """Give up all leases, as for a drain."""
        for lease in self._leases.values():
            await lease.release()

    def _lease(self, model: str) -> ModelLease:
        lease = self._leases.get(model)
        if lease is None:
            lease = ModelLease(
                store=self._store,
                model=model,
                leader=self._leader,
                settings=self._settings,
                clock=self._clock,
            )
            self._leases[model] = lease
        return lease

    async def _load(self, lease: ModelLease, move: Move) -> StepResult:
        if self._loading:
            return StepResult.WAITING
        self._loading = True
        try:
            if not await self._pacer.is_ready():
                return StepResult.WAITING
            return await self._order(lease, move)
        finally:
            self._loading = False

    async def _order(self, lease: ModelLease, move: Move) -> StepResult:
        claim = await self._claims.claim(move)
        if claim is None:
            return StepResult.SERVER_BUSY
        return await self._carry_out(lease, claim, move)

    async def _carry_out(
        self, lease: ModelLease, claim: Claim, move: Move
    ) -> StepResult:
        if not await self._is_allowed(move):
            await self._claims.finish(claim)
            return StepResult.OUTDATED
        command = Command(
            kind=move.kind,
            model=move.model,
            version=move.version,
            fencing=claim.fencing,
        )
        try:
            await self._servers.send(
                move.server,
                command,
                send_before=min(claim.send_before, lease.send_before),
            )
        except OriolegaugeError as error:
            # A command that may still run keeps the server claimed until it
            # must have ended.
            if error.run_state is RunState.UNKNOWN:
                return StepResult.UNKNOWN
            await self._claims.finish(claim)
            return StepResult.FAILED
        return await self._read_back(claim, move)

    async def _is_allowed(self, move: Move) -> bool:
        """Check the move against what the servers say now, not in reports."""
        try:
            if not await self._still_fits(move):
                return False
        except OriolegaugeError:
            return False
        return not move.kind.reads_weights or await self._pacer.take()

    async def _still_fits(self, move: Move) -> bool:
        loaded = await self._servers.loaded(move.server)
        match move.kind:
            case CommandKind.LOAD_MODEL:
                return loaded == move.expected
            case CommandKind.UNLOAD_MODEL:
                return move.model in loaded and await self._is_kept(move)
            case _:
                return move.model in loaded

    async def _is_kept(self, move: Move) -> bool:
        # A keeper with a command in progress may be about to unload it too.
        for keeper in move.keepers:
            loaded = await self._servers.loaded(keeper)
            if move.model in loaded and await self._claims.is_idle(keeper):
                return True
        return False

    async def _read_back(self, claim: Claim, move: Move) -> StepResult:
        try:
            loaded = await self._servers.loaded(move.server)
        except OriolegaugeError:
            loaded = None
        await self._claims.finish(claim)
        if loaded is None:
            return StepResult.UNKNOWN
        wanted = move.kind is not CommandKind.UNLOAD_MODEL
        name = f'{move.model}:{move.version}' if move.version else move.model
        done = (name in loaded) == wanted
        return StepResult.DONE if done else StepResult.FAILED
