"""Placement of models on servers by elected leaders.

A leader per model sends commands, and each server gets one at a time, in the
order of its fencing numbers, also when daemons crash or stall midway.
"""

from collections.abc import Callable
from enum import StrEnum

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.runstate import RunState
from oriolegauge.objectstore import ObjectStore
from oriolegauge.placement.command import Command, CommandKind, CommandTarget
from oriolegauge.placement.decision import plan_command
from oriolegauge.placement.loadpacer import LoadPacer
from oriolegauge.placement.modellease import ModelLease
from oriolegauge.placement.placementsettings import PlacementSettings
from oriolegauge.placement.placementstate import PlacementState, PlannedCommand
from oriolegauge.placement.serverclaims import Claim, ServerClaims


class StepResult(StrEnum):
    """Name the result of one placement step of a model."""

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

    `leader` must be unique to the process, as `<daemon>/<incarnation>` is.
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

    async def step(self, model: str, state: PlacementState) -> StepResult:
        """Take or renew the lease of the model and send at most one command.

        Steps of one model must not overlap. Raise StoreError if the store
        fails; a command that was not sent before is never sent.
        """
        lease = self._lease(model)
        if not await lease.hold():
            return StepResult.NOT_LEADER
        if not lease.may_command():
            return StepResult.WAITING
        planned = plan_command(model, state)
        if planned is None:
            return StepResult.SETTLED
        if planned.kind.reads_weights:
            return await self._load(lease, planned)
        return await self._claim_and_send(lease, planned)

    async def release(self) -> None:
        """Release all leases, as for a drain."""
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

    async def _load(
        self, lease: ModelLease, planned: PlannedCommand
    ) -> StepResult:
        if self._loading:
            return StepResult.WAITING
        self._loading = True
        try:
            if not await self._pacer.is_ready():
                return StepResult.WAITING
            return await self._claim_and_send(lease, planned)
        finally:
            self._loading = False

    async def _claim_and_send(
        self, lease: ModelLease, planned: PlannedCommand
    ) -> StepResult:
        claim = await self._claims.claim(planned)
        if claim is None:
            return StepResult.SERVER_BUSY
        return await self._send_claimed(lease, claim, planned)

    async def _send_claimed(
        self, lease: ModelLease, claim: Claim, planned: PlannedCommand
    ) -> StepResult:
        if not await self._is_allowed(planned):
            await self._claims.finish(claim)
            return StepResult.OUTDATED
        command = Command(
            kind=planned.kind,
            model=planned.model,
            version=planned.version,
            fencing=claim.fencing,
        )
        try:
            await self._servers.send(
                planned.server,
                command,
                send_before=min(claim.send_before, lease.send_before),
            )
        except OriolegaugeError as error:
            # The claim stays while the command may still run; it expires when
            # the command must have ended.
            if error.run_state is RunState.UNKNOWN:
                return StepResult.UNKNOWN
            await self._claims.finish(claim)
            return StepResult.FAILED
        return await self._verify_loaded(claim, planned)

    async def _is_allowed(self, planned: PlannedCommand) -> bool:
        """Check the command against the servers, as reports may be stale."""
        try:
            if not await self._is_still_valid(planned):
                return False
        except OriolegaugeError:
            return False
        return not planned.kind.reads_weights or await self._pacer.take()

    async def _is_still_valid(self, planned: PlannedCommand) -> bool:
        loaded = await self._servers.loaded(planned.server)
        match planned.kind:
            case CommandKind.LOAD_MODEL:
                return loaded == planned.expected
            case CommandKind.UNLOAD_MODEL:
                return (
                    planned.model in loaded
                    and await self._is_loaded_elsewhere(planned)
                )
            case _:
                return planned.model in loaded

    async def _is_loaded_elsewhere(self, planned: PlannedCommand) -> bool:
        # A holder with a command in progress may be unloading the model too.
        for holder in planned.remaining_holders:
            loaded = await self._servers.loaded(holder)
            if planned.model in loaded and await self._claims.is_idle(holder):
                return True
        return False

    async def _verify_loaded(
        self, claim: Claim, planned: PlannedCommand
    ) -> StepResult:
        try:
            loaded = await self._servers.loaded(planned.server)
        except OriolegaugeError:
            loaded = None
        await self._claims.finish(claim)
        if loaded is None:
            return StepResult.UNKNOWN
        should_be_loaded = planned.kind is not CommandKind.UNLOAD_MODEL
        name = (
            f'{planned.model}:{planned.version}'
            if planned.version
            else planned.model
        )
        done = (name in loaded) == should_be_loaded
        return StepResult.DONE if done else StepResult.FAILED
