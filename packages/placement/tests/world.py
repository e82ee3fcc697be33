"""State machine of leaders, a store and servers, run step by step."""

from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from oriolegauge.core import RunState
from oriolegauge.core.errors import ServerFailedError
from oriolegauge.objectstore import (
    StoreAnswerLostError,
    StoredObject,
    VersionConflictError,
)
from oriolegauge.placement import (
    Command,
    CommandKind,
    CommandNotSentError,
    CommandRejectedError,
    ModelGoal,
    PlacementSettings,
    PlacementState,
    Placer,
    ServerModelState,
    StepResult,
)

MODELS = ('a', 'b')
SERVERS = ('s0', 's1', 's2')
TIMES = PlacementSettings(
    lease_s=40, command_max_s=10, margin_s=1, claim_send_s=3, load_interval_s=2
)


class Pause:
    """Suspend a coroutine until the state machine resumes it."""

    def __await__(self):
        yield


@dataclass
class Engine:
    name: str
    checks_fencing: bool
    loaded: set[str] = field(default_factory=set)
    highest_fencing: int = 0
    runs: list[tuple[float, float, int]] = field(default_factory=list)
    pending: list[tuple[float, Command]] = field(default_factory=list)


@dataclass
class Daemon:
    name: str
    placer: Placer
    steps: dict[str, Coroutine[Any, Any, StepResult]] = field(
        default_factory=dict
    )


class World(RuleBasedStateMachine):
    """Run leaders step by step; rules choose which one and when."""

    placer_class = Placer

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.delayed_writes: list[tuple[str, dict, int]] = []
        self.next_store_fault = 'whole'
        self.next_command_fault = 'whole'
        self.sender = ''
        self.waiting = {'a': 20, 'b': 5}
        self.daemons: dict[str, Daemon] = {}
        self.started = 0
        self.results: list[StepResult] = []

    @initialize(checks_fencing=st.lists(st.booleans(), min_size=3, max_size=3))
    def setup(self, checks_fencing: list[bool]) -> None:
        self.engines = {
            name: Engine(name, checks)
            for name, checks in zip(SERVERS, checks_fencing, strict=True)
        }
        self.reports = dict.fromkeys(SERVERS, frozenset())
        self.reports_frozen = False
        for number in (0, 1):
            self.start(number)

    def start(self, number: int) -> None:
        self.started += 1
        name = f'd{number}/{self.started}'
        placer = self.placer_class(
            store=self,
            servers=self,
            leader=name,
            clock=lambda: self.now,
            settings=TIMES,
        )
        self.daemons[f'd{number}'] = Daemon(name, placer)

    # The object store.

    async def get(self, key: str) -> StoredObject | None:
        await Pause()
        found = self.objects.get(key)
        await Pause()
        return found

    async def put(
        self, key: str, value: dict, expected_version: int
    ) -> StoredObject:
        await Pause()
        fault, self.next_store_fault = self.next_store_fault, 'whole'
        if fault == 'late':
            self.delayed_writes.append((key, dict(value), expected_version))
            raise StoreAnswerLostError('lost')
        if fault == 'lost':
            raise StoreAnswerLostError('lost')
        stored = self.apply(key, value, expected_version)
        await Pause()
        if stored is None:
            raise VersionConflictError('changed')
        if fault == 'lost after':
            raise StoreAnswerLostError('lost')
        return stored

    def apply(
        self, key: str, value: dict, expected_version: int
    ) -> StoredObject | None:
        found = self.objects.get(key)
        if (found.version if found else 0) != expected_version:
            return None
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, dict(value))
        return self.objects[key]

    # The backend servers.

    async def loaded(self, server: str) -> frozenset[str]:
        await Pause()
        self.settle()
        return frozenset(self.engines[server].loaded)

    async def send(
        self, server: str, command: Command, *, send_before: float
    ) -> None:
        await Pause()
        sender = self.sender
        if self.now >= send_before:
            raise CommandNotSentError('too late')
        engine = self.engines[server]
        fault, self.next_command_fault = self.next_command_fault, 'whole'
        lease = self.objects[f'placement/{command.model}']
        assert lease.value['leader'] == sender, 'sent without the lease'
        self.execute(engine, command, slow=fault != 'whole')
        await Pause()
        ends_at = engine.runs[-1][1]
        while self.now < ends_at and fault == 'whole':
            await Pause()
        if fault != 'whole':
            raise ServerFailedError('cut', run_state=RunState.UNKNOWN)

    def execute(self, engine: Engine, command: Command, *, slow: bool) -> None:
        if engine.checks_fencing and command.fencing < engine.highest_fencing:
            raise CommandRejectedError('old number')
        assert command.fencing > engine.highest_fencing, (
            'old command after newer'
        )
        engine.highest_fencing = command.fencing
        lasts_s = TIMES.command_max_s if slow else 4
        begin, end = self.now, self.now + lasts_s
        for _, earlier_end, _ in engine.runs:
            assert begin >= earlier_end, 'two commands at once'
        engine.runs.append((begin, end, command.fencing))
        self.settle()
        if command.kind is CommandKind.LOAD_MODEL:
            assert not engine.loaded, 'no room'
        engine.pending.append((end, command))

    def settle(self) -> None:
        """Apply the commands that have ended, in order of time."""
        due = sorted(
            (
                (end, engine.name, command)
                for engine in self.engines.values()
                for end, command in engine.pending
                if end <= self.now
            ),
            key=lambda entry: entry[:2],
        )
        for end, name, command in due:
            engine = self.engines[name]
            engine.pending.remove((end, command))
            if command.kind is CommandKind.LOAD_MODEL:
                engine.loaded.add(command.model)
                continue
            engine.loaded.discard(command.model)
            assert any(
                command.model in other.loaded for other in self.engines.values()
            ), 'the last server of a model is unloaded'

    # Rules.

    @rule(
        seconds=st.sampled_from([0.5, 1, 3, 8, 21, 45]),
    )
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(
        waiting=st.dictionaries(
            st.sampled_from(MODELS), st.sampled_from([0, 5, 20, 40])
        )
    )
    def change_demand(self, waiting: dict[str, int]) -> None:
        self.waiting.update(waiting)

    @rule(fault=st.sampled_from(['late', 'lost', 'lost after']))
    def lose_store_answer(self, fault: str) -> None:
        self.next_store_fault = fault

    @rule()
    def interrupt_command(self) -> None:
        self.next_command_fault = 'cut'

    @precondition(lambda self: self.delayed_writes)
    @rule(data=st.data())
    def apply_delayed_write(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.delayed_writes) - 1))
        self.apply(*self.delayed_writes.pop(index))

    @rule(number=st.sampled_from([0, 1]))
    def restart(self, number: int) -> None:
        for step in self.daemons[f'd{number}'].steps.values():
            step.close()
        self.start(number)

    @rule(
        number=st.sampled_from([0, 1]),
        model=st.sampled_from(MODELS),
        moves=st.sampled_from([1, 2, 3, 5, 9, 30]),
    )
    def run_steps(self, number: int, model: str, moves: int) -> None:
        """Resume one leader some times; the others stay suspended."""
        daemon = self.daemons[f'd{number}']
        for _ in range(moves):
            step = daemon.steps.get(model)
            if step is None:
                step = daemon.placer.step(model, self.state())
                daemon.steps[model] = step
            self.sender = daemon.name
            try:
                step.send(None)
            except StopIteration as stop:
                self.results.append(stop.value)
                daemon.steps.pop(model)

    @rule(number=st.sampled_from([0, 1]), turns=st.sampled_from([3, 7, 12]))
    def run_daemon(self, number: int, turns: int) -> None:
        """Run one daemon without faults for a while."""
        for _ in range(turns):
            self.now += 2
            self.report()
            for model in MODELS:
                self.run_steps(number, model, 9)

    @rule(
        number=st.sampled_from([0, 1]),
        model=st.sampled_from(MODELS),
        writes=st.sampled_from([1, 2]),
        turns=st.sampled_from([0, 4, 7, 8, 9, 12, 24, 48]),
    )
    def stall_in_write(
        self, number: int, model: str, writes: int, turns: int
    ) -> None:
        """Suspend a leader after its write and before the reply."""
        before = self.revision
        for _ in range(30):
            self.run_steps(number, model, 1)
            if self.revision == before + writes:
                break
        self.run_daemon(1 - number, turns)
        self.run_steps(number, model, 30)

    @rule(frozen=st.booleans())
    def freeze_reports(self, frozen: bool) -> None:
        self.reports_frozen = frozen

    @rule()
    def report(self) -> None:
        self.settle()
        if not self.reports_frozen:
            self.reports = {
                engine.name: frozenset(engine.loaded)
                for engine in self.engines.values()
            }

    def state(self) -> PlacementState:
        return PlacementState(
            goals={
                model: ModelGoal(model=model, tokens_per_server=10)
                for model in MODELS
            },
            servers=tuple(
                ServerModelState(
                    name=name, loaded=loaded, may_load=frozenset(MODELS)
                )
                for name, loaded in self.reports.items()
            ),
            waiting=dict(self.waiting),
        )

    @invariant()
    def fencing_numbers_increase(self) -> None:
        for engine in getattr(self, 'engines', {}).values():
            numbers = [number for _, _, number in engine.runs]
            assert numbers == sorted(set(numbers))

    def teardown(self) -> None:
        for daemon in self.daemons.values():
            for step in daemon.steps.values():
                step.close()
