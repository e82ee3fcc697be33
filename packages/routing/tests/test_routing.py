"""Routing around slow and leaving servers; limits of retries and hedges."""

import random

from oriolegauge.routing import HedgePolicy, RetryBudget, Router, ServerView

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
