"""State machine of processes with member tables on an unreliable network."""

from collections.abc import Callable
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from oriolegauge.membership import FailureProof, MemberState, MemberTable

NAMES = ('m0', 'm1', 'm2')
TICK_S = 0.25
LIST_LAG_S = 5.0

members = st.sampled_from(NAMES)


@dataclass(frozen=True)
class Row:
    member: str
    age_ms: int


@dataclass(frozen=True)
class Beat:
    member: str
    incarnation: str
    zone: str = 'z'
    state: str = 'serving'
    heard: tuple[Row, ...] = ()


@dataclass(eq=False)
class Process:
    incarnation: str
    table: MemberTable
    paused: bool = False
    heard: set[str] = field(default_factory=set)


class Fleet(RuleBasedStateMachine):
    """Processes at fixed addresses; messages may be late, lost or blocked.

    `transit` holds deliveries that the machine performs later, or never.
    """

    table_class = MemberTable

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.born: dict[str, tuple[str, float]] = {}
        self.ended: set[str] = set()
        self.running: dict[str, Process] = {}
        self.listed: dict[str, list[tuple[float, bool]]] = {
            name: [(0.0, True)] for name in NAMES
        }
        self.cuts: set[frozenset[str]] = set()
        self.transit: list[tuple[Process, Callable, tuple]] = []
        for name in NAMES:
            self.start(name)

    def _begin(self, name: str) -> str:
        incarnation = f'{name}#{len(self.born)}'
        self.born[incarnation] = (name, self.now)
        return incarnation

    def _awake(self, name: str) -> Process | None:
        process = self.running.get(name)
        return process if process and not process.paused else None

    def _cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def _listed_alive(self, name: str, at: float) -> bool:
        return [alive for since, alive in self.listed[name] if since <= at][-1]

    @rule(name=members)
    def start(self, name: str) -> None:
        if name in self.running:
            return
        incarnation = self._begin(name)
        self.listed[name].append((self.now, True))
        self.running[name] = Process(
            incarnation,
            self.table_class(
                name=name, incarnation=incarnation, zone='z', now=self.now
            ),
        )

    @rule(name=members, host_too=st.booleans())
    def kill(self, name: str, host_too: bool) -> None:
        process = self.running.pop(name, None)
        if process:
            self.ended.add(process.incarnation)
        if host_too:
            self.listed[name].append((self.now, False))

    @rule(name=members)
    def pause(self, name: str) -> None:
        if name in self.running:
            self.running[name].paused = True

    @rule(name=members)
    def resume(self, name: str) -> None:
        if name in self.running:
            self.running[name].paused = False

    @rule(name=members)
    def take_new_incarnation(self, name: str) -> None:
        process = self._awake(name)
        if process:
            self.ended.add(process.incarnation)
            process.incarnation = self._begin(name)
            process.table.set_own(
                incarnation=process.incarnation, state='serving'
            )

    @rule(one=members, other=members, cut=st.booleans())
    def partition(self, one: str, other: str, cut: bool) -> None:
        pair = frozenset((one, other))
        self.cuts = self.cuts | {pair} if cut else self.cuts - {pair}

    @rule(ticks=st.sampled_from([1, 1, 2, 8, 24, 100]))
    def advance(self, ticks: int) -> None:
        for _ in range(ticks):
            self.now += TICK_S
            for process in self.running.values():
                if not process.paused:
                    process.table.view(self.now)

    @rule(name=members, late=st.booleans())
    def beat(self, name: str, late: bool) -> None:
        process = self._awake(name)
        if process is None:
            return
        rows = tuple(
            Row(row.member, row.age_ms) for row in process.table.heard(self.now)
        )
        beat = Beat(name, process.incarnation, heard=rows)
        for peer in NAMES:
            if peer == name or self._cut(name, peer):
                continue
            target = self.running.get(peer)
            if target:
                self._pass(late, target, self._receive_heartbeat, beat)

    def _receive_heartbeat(self, target: Process, beat: Beat) -> None:
        known_dead = beat.incarnation in target.heard and (
            target.table.is_closable(
                beat.member,
                beat.incarnation,
                seen_at=self.born[beat.incarnation][1],
                now=self.now,
            )
        )
        accepted = target.table.observe(beat, self.now)
        target.heard.add(beat.incarnation)
        assert not (known_dead and accepted), (
            'accepted a late heartbeat of a dead process'
        )

    @rule(asker=members, name=members, late=st.booleans())
    def ask(self, asker: str, name: str, late: bool) -> None:
        """Call the address; the process there answers, or the host refuses."""
        process = self._awake(asker)
        if process is None or asker == name:
            return
        asked_at = self.now
        self._pass(late, process, self._arrive, asker, name, asked_at, late)

    def _arrive(
        self,
        asker: Process,
        origin: str,
        name: str,
        asked_at: float,
        late: bool,
    ) -> None:
        if self._cut(origin, name):
            return
        if name not in self.running:
            self._pass(late, asker, self._refused, name, asked_at)
            return
        there = self._awake(name)
        if there:
            answer = there.incarnation
            self._pass(late, asker, self._answered, name, answer, asked_at)

    def _refused(self, asker: Process, name: str, asked_at: float) -> None:
        asker.table.note_failure_proof(
            name, FailureProof.REFUSED, started_at=asked_at, now=self.now
        )

    def _answered(
        self, asker: Process, name: str, incarnation: str, asked_at: float
    ) -> None:
        asker.table.answered(name, incarnation, asked_at=asked_at, now=self.now)
        asker.heard.add(incarnation)

    @rule(
        reader=members,
        lag_s=st.sampled_from([0, 0.3, 0.6, 1, 3, LIST_LAG_S]),
        late=st.booleans(),
    )
    def read_hosts(self, reader: str, lag_s: float, late: bool) -> None:
        process = self._awake(reader)
        if process is None:
            return
        shown = max(0.0, self.now - lag_s)
        for name in NAMES:
            if name != reader and not self._listed_alive(name, shown):
                self._pass(late, process, self._host_gone, name, self.now)

    def _host_gone(self, reader: Process, name: str, read_at: float) -> None:
        reader.table.note_failure_proof(
            name, FailureProof.HOST_GONE, started_at=read_at, now=self.now
        )

    def _pass(
        self, late: bool, owner: Process, action: Callable, *args
    ) -> None:
        if late:
            self.transit.append((owner, action, args))
        else:
            self._perform(owner, action, args)

    def _perform(self, owner: Process, action: Callable, args: tuple) -> None:
        # Delivered after the pause of a paused process, never to a killed one.
        if owner.paused:
            self.transit.append((owner, action, args))
        elif owner in self.running.values():
            action(owner, *args)

    @precondition(lambda self: self.transit)
    @rule(data=st.data(), drop=st.booleans())
    def deliver(self, data: st.DataObject, drop: bool) -> None:
        index = data.draw(st.integers(0, len(self.transit) - 1))
        entry = self.transit.pop(index)
        if not drop:
            self._perform(*entry)

    @rule()
    def deliver_all(self) -> None:
        waiting, self.transit = self.transit, []
        for entry in waiting:
            self._perform(*entry)

    @rule(name=members, caller=members, host_too=st.booleans())
    def restart(self, name: str, caller: str, host_too: bool) -> None:
        """Restart quickly; the last heartbeat and refusals arrive late."""
        self.beat(name, late=True)
        self.kill(name, host_too)
        for _ in range(2):
            process = self._awake(caller)
            if process and caller != name and not self._cut(caller, name):
                self._pass(True, process, self._refused, name, self.now)
            self.advance(1)
        self.start(name)
        self.beat(name, late=False)

    @rule(asker=members, name=members)
    def find_dead(self, asker: str, name: str) -> None:
        """Two refusals 250 ms apart prove the end, with no message between."""
        process = self._awake(asker)
        if process is None or asker == name or self._cut(asker, name):
            return
        if name in self.running:
            return
        self.advance(1)
        self.ask(asker, name, late=False)
        self.advance(1)
        self.ask(asker, name, late=False)
        known = {it for it in process.heard if self.born[it][0] == name}
        for incarnation in known:
            assert self._is_closable(process, incarnation), (
                'ended process is not closable'
            )
        if known:
            assert process.table.state(name, self.now) is MemberState.DEAD

    @rule(asker=members, name=members)
    def find_restarted(self, asker: str, name: str) -> None:
        """One round trip shows which incarnation is running."""
        process, there = self._awake(asker), self._awake(name)
        if not process or not there or asker == name or self._cut(asker, name):
            return
        self.advance(1)
        self.ask(asker, name, late=False)
        for incarnation, (member, _) in self.born.items():
            if member == name and incarnation != there.incarnation:
                assert self._is_closable(process, incarnation)
        alive = process.table.view(self.now).members[name]
        assert alive.incarnation == there.incarnation

    def _is_closable(self, process: Process, incarnation: str) -> bool:
        name, born_at = self.born[incarnation]
        return process.table.is_closable(
            name, incarnation, seen_at=born_at, now=self.now
        )

    @invariant()
    def closed_processes_have_ended(self) -> None:
        if self.now > 800:
            return
        for process in self.running.values():
            for incarnation in self.born:
                if self._is_closable(process, incarnation):
                    assert incarnation in self.ended, (
                        'a running process is closable'
                    )
            for name in NAMES:
                if process.table.state(name, self.now) is MemberState.DEAD:
                    assert {
                        it for it in process.heard if self.born[it][0] == name
                    } <= self.ended

    @invariant()
    def alive_incarnations_are_not_closable(self) -> None:
        for process in self.running.values():
            if process.paused:
                continue
            for name, alive in process.table.view(self.now).members.items():
                assert alive.name == name
                assert not self._is_closable(process, alive.incarnation)
