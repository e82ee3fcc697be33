"""Placement of models when leaders stall, replies are lost or reports stale.

Guards against two commands at once on a server, commands out of order and the
unloading of a model from its last server.
"""

import pytest

from oriolegauge.placement import (
    CommandKind,
    ModelGoal,
    PlacementState,
    Placer,
    PlannedCommand,
    ServerModelState,
    plan_command,
)
from oriolegauge.placement import placer as placer_module
from oriolegauge.placement.modellease import ModelLease
from oriolegauge.placement.serverclaims import Claim, ServerClaims
from oriolegauge.testkit import MemoryObjectStore
from oriolegauge.testkit.fuzzing import Budget

from .world import MODELS, TIMES, World


class LeaseCountedFromAnswer(ModelLease):
    """Broken: measures the lease from the store's reply."""

    def _record_write(self, stored, started):
        super()._record_write(stored, self._clock())


class LeaseTakenTooEarly(ModelLease):
    """Broken: takes over a lease without waiting for its expiry."""

    def _wait_before_command(self, found):
        return 0


class LeaseUsedAfterExpiry(ModelLease):
    """Broken: sends commands however old the lease is."""

    @property
    def send_before(self):
        return float('inf')


class ClaimCountedFromAnswer(ServerClaims):
    """Broken: measures the time to send from the store's reply."""

    async def claim(self, planned):
        claim = await super().claim(planned)
        if claim:
            return Claim(claim.stored, self._clock() + TIMES.claim_send_s)
        return None


class ClaimReplacedTooEarly(ServerClaims):
    """Broken: replaces a claim while its command may still run."""

    def _may_run(self, server, found):
        return False


class PlacerTrustingReports(Placer):
    """Broken: trusts stale reports without asking the servers."""

    async def _is_still_valid(self, planned):
        return True


@pytest.mark.fuzz
class TestPlacerMachine:
    def test_commands_are_exclusive_and_in_order(self):
        """Guards against overlapping commands and old after newer ones.

        Leaders stall, restart and lose store replies in the midst of a step.
        """
        Budget(80).run_machine(World)

    @pytest.mark.parametrize(
        ('name', 'broken'),
        [
            ('ModelLease', LeaseCountedFromAnswer),
            ('ModelLease', LeaseTakenTooEarly),
            ('ModelLease', LeaseUsedAfterExpiry),
            ('ServerClaims', ClaimReplacedTooEarly),
            ('Placer', PlacerTrustingReports),
        ],
    )
    def test_machine_detects_broken_variant(self, name, broken, monkeypatch):
        """Guards against a state machine too weak to detect these faults."""
        monkeypatch.setattr(placer_module, name, broken)

        class Broken(World):
            placer_class = placer_module.Placer

        Budget(800).expect_caught(Broken)


class TestServerClaims:
    """Two leaders claim one server; the first reply arrives late."""

    UNLOAD = PlannedCommand(
        server='s0', kind=CommandKind.UNLOAD_MODEL, model='a'
    )

    async def overlap_s(self, claims_class: type[ServerClaims]) -> float:
        """Return for how long both commands may run at once."""
        now = [0.0]
        store = MemoryObjectStore()
        put = store.put

        async def slow_put(key, value, expected_version):
            stored = await put(key, value, expected_version)
            now[0] += 20
            return stored

        def claims(kind: type[ServerClaims], leader: str) -> ServerClaims:
            return kind(
                store=store,
                leader=leader,
                settings=TIMES,
                clock=lambda: now[0],
            )

        store.put = slow_put
        first = await claims(claims_class, 'd1/1').claim(self.UNLOAD)
        store.put = put
        now[0], other = 0.1, claims(ServerClaims, 'd2/1')
        while (second := await other.claim(self.UNLOAD)) is None:
            now[0] += 0.1
        assert second.fencing > first.fencing
        return first.send_before + TIMES.command_max_s - now[0]

    async def test_claim_time_starts_before_the_write(self):
        """Guards against a claim that is measured from the late reply."""
        assert await self.overlap_s(ServerClaims) < 0
        assert await self.overlap_s(ClaimCountedFromAnswer) > 0

    async def test_finish_of_an_old_claim_keeps_the_newer_one(self):
        """Guards against a stalled leader that releases a newer claim."""
        now, store = [0.0], MemoryObjectStore()
        one, other = (
            ServerClaims(
                store=store, leader=name, settings=TIMES, clock=lambda: now[0]
            )
            for name in ('d1/1', 'd2/1')
        )
        old = await one.claim(self.UNLOAD)
        assert await other.claim(self.UNLOAD) is None
        now[0] = 100
        assert await other.claim(self.UNLOAD)
        await one.finish(old)
        assert not await one.is_idle('s0')


class TestDecision:
    @staticmethod
    def state(loaded: dict[str, str], **waiting: int) -> PlacementState:
        return PlacementState(
            goals={
                model: ModelGoal(
                    model=model,
                    tokens_per_server=10,
                    variants={f'{model}:v2': CommandKind.LOAD_VERSION},
                )
                for model in MODELS
            },
            servers=tuple(
                ServerModelState(
                    name=name,
                    loaded=frozenset(names.split()),
                    may_load=frozenset(MODELS),
                )
                for name, names in loaded.items()
            ),
            waiting=waiting,
        )

    @pytest.mark.parametrize(
        ('loaded', 'waiting', 'expected'),
        [
            # Waiting requests and an empty server.
            ({'s0': 'a a:v2', 's1': ''}, {'a': 20}, ('load_model', 's1')),
            # A server without the new version.
            ({'s0': 'a'}, {'a': 1}, ('load_version', 's0')),
            # A model without any server while another has two.
            (
                {'s0': 'a a:v2', 's1': 'a a:v2'},
                {'a': 90, 'b': 1},
                ('unload_model', 's0'),
            ),
            # The only server of a model.
            ({'s0': 'a a:v2'}, {'b': 50}, None),
            # Servers that would load and unload in turn.
            (
                {'s0': 'a a:v2', 's1': 'a a:v2', 's2': 'b b:v2'},
                {'a': 11, 'b': 20},
                None,
            ),
        ],
    )
    def test_planned_command(self, loaded, waiting, expected):
        """Guards against a command that is useless or leaves no server."""
        planned = plan_command('a', self.state(loaded, **waiting))
        assert (planned and (planned.kind.value, planned.server)) == expected
