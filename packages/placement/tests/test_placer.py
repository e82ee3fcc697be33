import pytest

from oriolegauge.placement import (
    CommandKind,
    ModelGoal,
    Move,
    PlacementState,
    Placer,
    ServerModelState,
    next_move,
)
from oriolegauge.placement import placer as placer_module
from oriolegauge.placement.modellease import ModelLease
from oriolegauge.placement.serverclaims import Claim, ServerClaims
from oriolegauge.testkit import MemoryObjectStore
from oriolegauge.testkit.fuzzing import Budget

from .world import MODELS, TIMES, World


class LateLease(ModelLease):
    """Broken: counts the lease from the answer."""

    def _keep(self, stored, started):
        super()._keep(stored, self._clock())


class HastyLease(ModelLease):
    """Broken: ends a predecessor's lease by its first look at it."""

    def _wait_after(self, found):
        return 0


class CarelessLease(ModelLease):
    """Broken: takes a lease for valid until it is told otherwise."""

    @property
    def send_before(self):
        return float('inf')


class LateClaims(ServerClaims):
    """Broken: counts the time to send from the answer."""

    async def claim(self, move):
        claim = await super().claim(move)
        if claim:
            return Claim(claim.stored, self._clock() + TIMES.claim_send_s)
        return None


class EagerClaims(ServerClaims):
    """Broken: replaces a claim without waiting for its command."""

    def _may_run(self, server, found):
        return False


class BlindPlacer(Placer):
    """Broken: unloads by late reports without asking the servers."""

    async def _still_fits(self, move):
        return True


@pytest.mark.fuzz
class TestPlacerMachine:
    def test_machine(self):
        """Guards against two commands at once and old after newer ones."""
        Budget(80).run_machine(World)

    @pytest.mark.parametrize(
        ('name', 'broken'),
        [
            ('ModelLease', LateLease),
            ('ModelLease', HastyLease),
            ('ModelLease', CarelessLease),
            ('ServerClaims', EagerClaims),
            ('Placer', BlindPlacer),
        ],
    )
    def test_broken_variant_is_caught(self, name, broken, monkeypatch):
        """Guards against a machine too weak to see these faults."""
        monkeypatch.setattr(placer_module, name, broken)

        class Broken(World):
            placer_class = placer_module.Placer

        Budget(800).expect_caught(Broken)


class TestServerClaims:
    """Two claimants; the first one's write is answered late."""

    MOVE = Move(server='s0', kind=CommandKind.UNLOAD_MODEL, model='a')

    async def overlap_s(self, claims_class: type[ServerClaims]) -> float:
        """Return by how much the first command may run into the second."""
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
        first = await claims(claims_class, 'd1/1').claim(self.MOVE)
        store.put = put
        now[0], other = 0.1, claims(ServerClaims, 'd2/1')
        while (second := await other.claim(self.MOVE)) is None:
            now[0] += 0.1
        assert second.fencing > first.fencing
        return first.send_before + TIMES.command_max_s - now[0]

    async def test_late_answer(self):
        """Guards against a claim that is counted from its answer."""
        assert await self.overlap_s(ServerClaims) < 0
        assert await self.overlap_s(LateClaims) > 0

    async def test_finish_of_an_old_claim(self):
        """Guards against a woken claimant that frees a newer claim."""
        now, store = [0.0], MemoryObjectStore()
        one, other = (
            ServerClaims(
                store=store, leader=name, settings=TIMES, clock=lambda: now[0]
            )
            for name in ('d1/1', 'd2/1')
        )
        old = await one.claim(self.MOVE)
        assert await other.claim(self.MOVE) is None
        now[0] = 100
        assert await other.claim(self.MOVE)
        await one.finish(old)
        assert not await one.is_idle('s0')


class TestDecision:
    @staticmethod
    def situation(loaded: dict[str, str], **waiting: int) -> PlacementState:
        return PlacementState(
            goals={
                model: ModelGoal(
                    model=model,
                    tokens_per_server=10,
                    extras={f'{model}:v2': CommandKind.LOAD_VERSION},
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
            # Demand that waits beside an empty server.
            ({'s0': 'a a:v2', 's1': ''}, {'a': 20}, ('load_model', 's1')),
            # A server that stays on an old version.
            ({'s0': 'a'}, {'a': 1}, ('load_version', 's0')),
            # A model without any server while another has two.
            (
                {'s0': 'a a:v2', 's1': 'a a:v2'},
                {'a': 90, 'b': 1},
                ('unload_model', 's0'),
            ),
            # The only server of a model.
            ({'s0': 'a a:v2'}, {'b': 50}, None),
            # Servers that would move to and fro.
            (
                {'s0': 'a a:v2', 's1': 'a a:v2', 's2': 'b b:v2'},
                {'a': 11, 'b': 20},
                None,
            ),
        ],
    )
    def test_next_move(self, loaded, waiting, expected):
        """Guards against a move that starves a model or is not needed."""
        move = next_move('a', self.situation(loaded, **waiting))
        assert (move and (move.kind.value, move.server)) == expected
