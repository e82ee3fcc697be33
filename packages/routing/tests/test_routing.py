"""Routing around slow and leaving servers; limits of retries and hedges."""

import random

import pytest

from oriolegauge.routing import HedgePolicy, RetryBudget, Router, ServerView
from oriolegauge.routing.retrybudgets import RetryBudgets

ZONE = 'z1'


def make_views(count, **changes):
    return [
        ServerView(name=f's{number}', zone=ZONE, **changes)
        for number in range(count)
    ]


class TestRouter:
    def test_leaving_server_gets_no_requests(self):
        router = Router(zone=ZONE, rng=random.Random(1))
        assert router.choose(make_views(3, leaving=True), 'key', 0.0) is None

    def test_slow_server_is_ejected_and_returns(self):
        router = Router(zone=ZONE, rng=random.Random(1))
        views = make_views(4)
        for view in views:
            seconds = 2.0 if view.name == 's0' else 0.2
            router.progress(view.name, 10, seconds, 0.0)
        chosen = {router.choose(views, None, 0.0) for _ in range(50)}
        assert chosen == {'s1', 's2', 's3'}
        assert router.is_ejected('s0')
        chosen = {router.choose(views, None, 2.0) for _ in range(50)}
        assert 's0' in chosen


class TestBudgets:
    def test_retries_stay_within_a_tenth_of_requests(self):
        budget = RetryBudget(rng=random.Random(1))
        granted = 0
        for _ in range(1000):
            budget.request()
            granted += budget.retry(1) is not None
        assert 95 <= granted <= 101

    @pytest.mark.parametrize('size', [1, 8, 195])
    @pytest.mark.parametrize('restarts', [0, 3])
    def test_retries_of_a_fleet_stay_within_share_and_slack(
        self, size, restarts
    ):
        """Guards against a part of the slack for each process or rounded up."""
        share, slack, requests = 0.2, 42, 2_000
        rng = random.Random(1)
        retries = 0
        for _ in range(restarts + 1):
            budgets = [
                RetryBudgets(
                    rng=rng, share=share, max_credit=lambda: slack / size
                )
                for _ in range(size)
            ]
            for _ in range(requests // (restarts + 1)):
                budget = rng.choice(budgets)
                budget.request('svc')
                retries += budget.may_retry('svc')
            for budget in budgets:
                while budget.may_retry('svc'):
                    retries += 1
        assert 0.8 * share * requests <= retries <= share * requests + slack

    def test_changed_limits_give_no_new_credit(self):
        """Guards against retries that each reload of the settings renews."""
        budgets = RetryBudgets(
            rng=random.Random(1),
            share=0.2,
            max_credit=lambda: 3,
            initial_credit=3,
        )
        granted = 0
        for _ in range(10):
            granted += budgets.may_retry('svc')
            budgets.share = 0.2
        assert granted == 3

    def test_no_retry_while_all_servers_fail(self):
        budget = RetryBudget(rng=random.Random(1))
        assert budget.retry(1, all_failing=True) is None

    def test_hedges_stay_within_two_percent_of_requests(self):
        policy = HedgePolicy()
        sent = 0
        for _ in range(1000):
            policy.request()
            sent += policy.spend()
        assert sent <= 20

    def test_only_idempotent_whole_answers_are_hedged(self):
        policy = HedgePolicy()
        for number in range(100):
            policy.observe(number / 100)
        assert policy.delay(idempotent=False, whole_answer=True) is None
        assert policy.delay(idempotent=True, whole_answer=False) is None
        assert policy.delay(idempotent=True, whole_answer=True) == 0.95
