"""Fuzz the router and the retry and hedge budgets against simple counts."""

import math
import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from oriolegauge.routing import HedgePolicy, RetryBudget, Router, ServerView
from oriolegauge.routing.ejection import Ejection
from oriolegauge.routing.retrybudget import INITIAL_CREDIT
from oriolegauge.testkit.fuzzing import Budget

NAMES = [f's{number}' for number in range(6)]
# The default length of a job, so that the average length never changes.
JOB_TOKENS = 256
LONGEST_EJECTION_S = 30.0


class RouterMachine(RuleBasedStateMachine):
    router_class = Router
    budget_class = RetryBudget
    hedge_class = HedgePolicy

    def __init__(self):
        super().__init__()
        self.rng = random.Random(1)
        self.router = self.router_class(zone='z1', rng=self.rng)
        self.budget = self.budget_class(rng=self.rng)
        self.hedges = self.hedge_class()
        for _ in range(20):
            self.hedges.observe(1.0)
        self.now = 0.0
        self.leaving = set()
        self.in_flight = dict.fromkeys(NAMES, 0)
        self.peers = dict.fromkeys(NAMES, 0)
        self.requests = self.retries = self.hedged = 0

    def views(self, names):
        return [
            ServerView(
                name=name,
                zone='z1' if name < 's3' else 'z2',
                leaving=name in self.leaving,
                reported_load=1000.0,
                reported_at=self.now - 5,
            )
            for name in sorted(names)
        ]

    def load(self, name):
        return self.in_flight[name] * JOB_TOKENS + self.peers[name]

    @rule(
        names=st.sets(st.sampled_from(NAMES), min_size=1),
        prefix=st.sampled_from([None, 'a', 'b']),
    )
    def request(self, names, prefix):
        self.requests += 1
        self.budget.request()
        self.hedges.request()
        open_names = names - self.leaving
        name = self.router.choose(self.views(names), prefix, self.now)
        if not open_names:
            assert name is None
            return
        assert name in open_names, 'leaving, not allowed, or none at all'
        if prefix is not None:
            self.check_bound(name, open_names)
        self.router.started(name, JOB_TOKENS, self.now)
        self.in_flight[name] += 1

    def check_bound(self, name, names):
        # Ejected servers don't count for the mean; at most half are out.
        loads = sorted((self.load(other) for other in names), reverse=True)
        kept = loads[: len(loads) - len(loads) // 2]
        mean = sum(kept) / len(kept) / JOB_TOKENS
        bound = (1.25 * mean + math.sqrt(mean)) * JOB_TOKENS + 1e-6
        assert self.load(name) <= bound, 'over the affinity bound'

    @rule(count=st.integers(5, 20))
    def burst(self, count):
        """Send many requests of one prefix, which fill its first server."""
        for _ in range(count):
            self.request(set(NAMES), 'a')

    @precondition(lambda self: any(self.in_flight.values()))
    @rule(rng=st.randoms(use_true_random=False), ok=st.booleans())
    def finish(self, rng, ok):
        name = rng.choice([n for n in NAMES if self.in_flight[n]])
        self.in_flight[name] -= 1
        self.router.finished(name, ok, self.now, tokens=JOB_TOKENS)

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1))
    def outage(self, names):
        """Let servers fail until they are ejected; request one of them."""
        for name in sorted(names) * 3:
            self.router.started(name, JOB_TOKENS, self.now)
            self.router.finished(name, False, self.now, tokens=JOB_TOKENS)
        self.request(names, None)

    @rule(name=st.sampled_from(NAMES), slow=st.booleans())
    def progress(self, name, slow):
        self.router.progress(name, 10, 5.0 if slow else 0.2, self.now)

    @rule(name=st.sampled_from(NAMES), tokens=st.sampled_from([0, 500, 9000]))
    def peer_load(self, name, tokens):
        self.peers[name] = tokens
        self.router.peer_load(name, tokens)

    @rule(seconds=st.sampled_from([0.1, 1.0, 20.0]))
    def advance(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from(NAMES))
    def turn_leaving(self, name):
        self.leaving ^= {name}

    @rule(attempt=st.integers(1, 5), all_failing=st.booleans())
    def retry(self, attempt, all_failing):
        for _ in range(3):
            delay = self.budget.retry(attempt, all_failing=all_failing)
            if delay is None:
                continue
            assert not all_failing, 'retried while all servers fail'
            assert 0 < delay <= 2.0
            self.retries += 1
        assert self.retries <= 0.1 * self.requests + INITIAL_CREDIT + 1e-6

    @rule(idempotent=st.booleans(), whole=st.booleans())
    def hedge(self, idempotent, whole):
        delay = self.hedges.delay(idempotent=idempotent, whole_answer=whole)
        if delay is None:
            return
        assert idempotent and whole
        self.hedged += self.hedges.spend()
        assert self.hedged <= 0.02 * self.requests

    @rule()
    def recover(self):
        """Let all servers recover; each must get requests again."""
        self.leaving.clear()
        for name in NAMES:
            self.peer_load(name, 0)
            while self.in_flight[name]:
                self.in_flight[name] -= 1
                self.router.finished(name, True, self.now, tokens=JOB_TOKENS)
        seen = set()
        for _ in range(int(2 * LONGEST_EJECTION_S) + 60):
            self.now += 1.0
            name = self.router.choose(self.views(NAMES), None, self.now)
            seen.add(name)
            self.router.started(name, JOB_TOKENS, self.now)
            self.router.progress(name, 10, 0.2, self.now)
            self.router.finished(name, True, self.now, tokens=JOB_TOKENS)
        assert seen == set(NAMES), 'a server never got work again'


@pytest.mark.fuzz
class TestRouterMachine:
    def test_router_agrees_with_the_oracle(self):
        Budget(25, 40).run_machine(RouterMachine)


class UsesLeavingServers(Router):
    def choose(self, candidates, prefix_key, now):
        views = [ServerView(name=v.name, zone=v.zone) for v in candidates]
        return super().choose(views, prefix_key, now)


class UnboundedAffinity(Router):
    def _bound(self, loads):
        return math.inf


class NeverReturns(Router):
    def choose(self, candidates, prefix_key, now):
        for view in candidates:
            health = self._ejection.health(view.name)
            if health.ejected_until > -math.inf:
                health._ejected_until = math.inf
        return super().choose(candidates, prefix_key, now)


class EjectsAll(Router):
    def choose(self, candidates, prefix_key, now):
        health = self._ejection.health
        kept = [v for v in candidates if now >= health(v.name).ejected_until]
        return super().choose(kept, prefix_key, now)


class UnboundedRetries(RetryBudget):
    def retry(self, attempt, *, all_failing=False):
        self._credit = 5.0
        return super().retry(attempt, all_failing=all_failing)


class RetriesIntoOutage(RetryBudget):
    def retry(self, attempt, *, all_failing=False):
        return super().retry(attempt)


class UnboundedHedges(HedgePolicy):
    def spend(self):
        return True


@pytest.mark.fuzz
class TestBrokenRouting:
    @pytest.mark.parametrize(
        ('part', 'broken', 'reason'),
        [
            ('router_class', UsesLeavingServers, 'leaving|None'),
            ('router_class', UnboundedAffinity, 'affinity bound'),
            ('router_class', NeverReturns, 'never got work again'),
            ('router_class', EjectsAll, 'none at all'),
            ('budget_class', UnboundedRetries, 'retries'),
            ('budget_class', RetriesIntoOutage, 'all servers fail'),
            ('hedge_class', UnboundedHedges, 'hedged'),
        ],
    )
    def test_machine_catches(self, part, broken, reason):
        machine = type('Broken', (RouterMachine,), {part: broken})
        Budget(400, 40).expect_caught(machine, match=reason)


class TestEjection:
    """Guard against ejecting too many servers at once."""

    @pytest.mark.parametrize('count', range(1, 7))
    def test_at_least_half_of_the_servers_stay_in_use(self, count):
        ejection = Ejection()
        names = NAMES[:count]
        for name in names:
            for _ in range(3):
                ejection.outcome(name, ok=False, now=0.0)
        assert len(ejection.usable(names, 0.5)) >= count - count // 2

    def test_ejected_server_gets_one_probe_at_a_time(self):
        router = Router(zone='z1', rng=random.Random(1))
        views = [ServerView(name=name, zone='z1') for name in NAMES]
        for _ in range(3):
            router.finished('s0', False, 0.0)
        picked = 0
        for _ in range(100):
            name = router.choose(views, None, 2.0)
            router.started(name, JOB_TOKENS, 2.0)
            picked += name == 's0'
        assert picked == 1

    def test_slow_probe_doubles_the_ejection(self):
        ejection = Ejection()
        for name in NAMES:
            ejection.observe(name, 10, 5.0 if name == 's0' else 0.2, 0.0)
        ejection.usable(NAMES, 0.0)
        first = ejection.health('s0').ejected_until
        assert 's0' in ejection.usable(NAMES, first)
        ejection.observe('s0', 10, 5.0, first)
        assert ejection.health('s0').ejected_until >= first + 2
