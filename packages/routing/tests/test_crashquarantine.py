"""Crash reports of all daemons limit the servers that a request crashes."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from oriolegauge.core import first
from oriolegauge.routing.crashquarantine import (
    CRASH_MEMORY_S,
    EXPLAINED_HOLD_S,
    FINGERPRINTS_MAX,
    REPORTS_MAX,
    SUSPECT_OWNER_KEY,
    SUSPECT_S,
    CrashQuarantine,
    Free,
    Isolated,
    OwnerOnly,
    Quarantined,
    ServerOccupied,
)
from oriolegauge.testkit.fuzzing import Budget

STEPS = 12

SERVERS = st.sampled_from(['s1', 's2'])
DAEMONS = st.integers(0, 2)
KILLERS = ['k1', 'k2']
INNOCENT = ['g1', 'g2']
FINGERPRINTS = st.sampled_from([*KILLERS, 'k1', *INNOCENT])


class Machine(RuleBasedStateMachine):
    """Count the servers that each killer crashed against a limit.

    The limit rises only with partitions and crashed daemons, in `excuses`. A
    daemon knows only its own running requests, as if all load reports were
    late. Callers retry a request only after its last attempt ended.
    """

    quarantine_class = CrashQuarantine

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.starts = 0
        self.side = dict.fromkeys(range(3), 0)
        self.daemons = {number: self.make() for number in range(3)}
        self.active = {}
        self.sent = []
        self.lost = Counter()
        self.excuses = Counter()
        self.has_split = False
        self.has_noise = False

    @initialize(
        killers=st.integers(1, 2),
        trouble=st.sampled_from(['none', 'split', 'deaths', 'all']),
    )
    def choose(self, killers, trouble):
        self.killers = KILLERS[:killers]
        self.trouble = trouble

    def make(self):
        self.starts += 1
        return self.quarantine_class(origin=f'd/{self.starts}')

    def reached(self, number):
        return [
            other
            for other in self.side
            if self.side[other] == self.side[number]
        ]

    def send(self, number, reports):
        for report in reports:
            self.sent.append(report)
            for other in self.reached(number):
                self.daemons[other].merge(report, self.now)

    def admit(self, number, fingerprint, server, owner):
        running = {}
        for other, (daemon, there, _) in self.active.items():
            if daemon == number:
                running.setdefault(there, []).append(other)
        return self.daemons[number].admit(
            fingerprint,
            server,
            self.now,
            running=running,
            is_owner=number == owner,
        )

    @rule(
        calls=st.lists(
            st.tuples(DAEMONS, FINGERPRINTS, SERVERS, st.booleans()),
            min_size=1,
            max_size=5,
        )
    )
    def request(self, calls):
        for number, fingerprint, server, ends in calls:
            self.begin(number, fingerprint, server)
            if ends:
                self.end(fingerprint)

    def begin(self, number, fingerprint, server):
        if fingerprint in self.active:
            return
        owner = int(first(SUSPECT_OWNER_KEY, map(str, self.side)))
        verdict = self.admit(number, fingerprint, server, owner)
        if isinstance(verdict, OwnerOnly) and owner in self.reached(number):
            number = owner
            verdict = self.admit(number, fingerprint, server, owner)
        if isinstance(verdict, Free | Isolated):
            is_isolated = isinstance(verdict, Isolated)
            self.active[fingerprint] = (number, server, is_isolated)

    def end(self, fingerprint):
        if fingerprint not in self.active:
            return
        number, server, _ = self.active[fingerprint]
        if fingerprint in self.killers:
            self.lost[fingerprint] += 1
            self.crash(server)
            return
        del self.active[fingerprint]
        changed = self.daemons[number].succeeded(fingerprint, self.now)
        self.send(number, changed)

    def crash(self, server):
        there = {
            fingerprint: run
            for fingerprint, run in self.active.items()
            if run[1] == server
        }
        for number in {run[0] for run in there.values()}:
            mine = [name for name in there if there[name][0] == number]
            report = self.daemons[number].crashed(
                server,
                mine,
                self.now,
                isolated=[name for name in mine if there[name][2]],
            )
            self.send(number, [report])
        for fingerprint in there:
            del self.active[fingerprint]
        self.check()

    def check(self):
        for killer, lost in self.lost.items():
            allowed = 2 + self.has_split + self.excuses[killer]
            assert lost <= allowed, f'{killer} took {lost} servers'
        is_clean = not (self.has_split or self.has_noise)
        if is_clean and len(self.killers) == 1:
            for daemon in self.daemons.values():
                assert daemon.quarantined(self.now) <= {*self.killers}

    @rule(
        kind=st.sampled_from(['crash', 'split', 'heal', 'kill', 'repeat']),
        number=DAEMONS,
        server=SERVERS,
        position=st.integers(0, 99),
        seconds=st.sampled_from([0.1, 1, 4]),
    )
    def disturb(self, kind, number, server, position, seconds):
        self.now += seconds
        match kind:
            case 'crash' if self.trouble == 'all':
                self.has_noise = True
                self.crash(server)
            case 'split' if self.trouble in ('split', 'all'):
                self.reconnect()
                self.has_split = True
                self.side[number] = 1
            case 'heal':
                self.reconnect()
            case 'kill' if self.trouble in ('deaths', 'all'):
                self.kill(number, takes_server=position % 2 == 0)
            case 'repeat' if self.sent:
                report = self.sent[position % len(self.sent)]
                self.daemons[number].merge(report, self.now)

    def reconnect(self):
        self.side = dict.fromkeys(self.side, 0)
        for number, daemon in self.daemons.items():
            self.send(number, daemon.reports(self.now))

    def kill(self, number, takes_server):
        """Crash a daemon; its runs and its unshared reports are lost."""
        dead = self.daemons[number]
        runs = {
            name: run for name, run in self.active.items() if run[0] == number
        }
        for name in runs:
            del self.active[name]
            if name in self.killers and takes_server:
                self.lost[name] += 1
                self.excuses[name] += 1
        others = [other for other in self.daemons if other != number]
        known = {
            (report.origin, report.number)
            for other in others
            for report in self.daemons[other].reports(self.now)
        }
        for report in dead.reports(self.now):
            if (report.origin, report.number) not in known:
                self.excuses.update(report.fingerprints)
        self.daemons[number] = self.make()
        for other in self.reached(number):
            for report in self.daemons[other].reports(self.now):
                self.daemons[number].merge(report, self.now)
        self.check()

    def teardown(self):
        """End partitions; harmless requests are served, all blame expires."""
        self.reconnect()
        views = {
            (daemon.quarantined(self.now), daemon.suspects(self.now))
            for daemon in self.daemons.values()
        }
        assert len(views) == 1, 'daemons with the same reports disagree'
        quarantined, _ = views.pop()
        daemon = self.daemons[0]
        for fingerprint in {*INNOCENT} - quarantined:
            verdict = daemon.admit(fingerprint, 's1', self.now, running={})
            assert isinstance(verdict, Free | Isolated)
            daemon.succeeded(fingerprint, self.now)
            assert fingerprint not in daemon.suspects(self.now)
        assert not daemon.quarantined(self.now + CRASH_MEMORY_S + 60)
        assert not daemon.suspects(self.now + CRASH_MEMORY_S + 60)


class WithoutIsolation(CrashQuarantine):
    def admit(self, *args, **options):
        verdict = super().admit(*args, **options)
        return Isolated() if isinstance(verdict, ServerOccupied) else verdict


class WithoutOwner(CrashQuarantine):
    def admit(self, *args, **options):
        return super().admit(*args, **{**options, 'is_owner': True})


class WithoutPeers(CrashQuarantine):
    def merge(self, report, now):
        return report.origin == self._origin and super().merge(report, now)


class CountsRepeats(CrashQuarantine):
    """Count a report that is received again as another crash."""

    def merge(self, report, now):
        if (report.origin, report.number) in self._crashes:
            report = replace(report, number=report.number + 1000)
        return super().merge(report, now)


class ClearsExplained(CrashQuarantine):
    """Clear suspects of crashes that a quarantined fingerprint explains."""

    def _find_suspects(self, now):
        for crash in self._crashes.values():
            if self._is_explained(crash):
                crash.cleared |= crash.uncleared - self._quarantined.keys()
        return super()._find_suspects(now)


@pytest.mark.fuzz
class TestCrashQuarantineMachine:
    def test_one_request_crashes_few_servers(self):
        """Guards against a request that crashes server after server."""
        Budget(150, STEPS).run_machine(Machine)

    @pytest.mark.parametrize(
        'broken',
        [
            WithoutIsolation,
            WithoutOwner,
            WithoutPeers,
            CountsRepeats,
            ClearsExplained,
        ],
    )
    def test_finds_broken_variants(self, broken):
        """Guards against a machine that can't detect these faults."""
        machine = type('Broken', (Machine,), {'quarantine_class': broken})
        Budget(1000, STEPS).expect_caught(
            machine, (AssertionError, ExceptionGroup)
        )


class TestCrashQuarantine:
    def test_suspicion_and_quarantine_expire(self):
        """Guards against refusing a harmless request for ever."""
        quarantine = CrashQuarantine(origin='d/1')
        first_report = quarantine.crashed('s1', ['a', 'b'], 0)
        quarantine.crashed('s2', ['b'], 100, isolated=['b'])
        assert not quarantine.suspects(100 + EXPLAINED_HOLD_S)
        verdict = quarantine.admit('b', 's3', 200, running={})
        assert verdict == Quarantined(CRASH_MEMORY_S - 100)
        assert not quarantine.quarantined(100 + CRASH_MEMORY_S)
        assert not quarantine.merge(
            replace(first_report, age_s=CRASH_MEMORY_S), CRASH_MEMORY_S
        )
        quarantine.crashed('s1', ['c'], 10_000)
        assert quarantine.suspects(10_000 + SUSPECT_S - 1) == {'c'}
        assert not quarantine.suspects(10_000 + SUSPECT_S)
        quarantine.crashed('s1', ['c'], 11_000)
        assert quarantine.quarantined(11_000) == {'c'}

    def test_memory_is_bounded(self):
        """Guards against growth when servers crash all the time."""
        quarantine = CrashQuarantine(origin='d/1')
        for number in range(2 * REPORTS_MAX):
            names = [f'{number}/{name}' for name in range(60)]
            quarantine.crashed('s1', names, number / 10)
        reports = quarantine.reports(0)
        assert len(reports) <= REPORTS_MAX
        held = sum(len(report.fingerprints) for report in reports)
        assert held <= FINGERPRINTS_MAX

    def test_one_crash_seen_by_two_daemons_counts_once(self):
        """Guards against quarantine by two reports of the same crash."""
        quarantine = CrashQuarantine(origin='d/1')
        quarantine.crashed('s1', ['a'], 0)
        other = CrashQuarantine(origin='d/2').crashed('s1', ['a'], 0)
        quarantine.merge(replace(other, age_s=2), 4)
        assert quarantine.suspects(4) == {'a'}
        assert not quarantine.quarantined(4)
