"""Learned speeds on a simulated clock."""

import math
import random

import pytest

from oriolegauge.routing.serverspeeds import (
    INITIAL_TOKEN_S,
    MAX_SLOWNESS,
    ServerSpeeds,
)


def feed(speeds, *, token_s, start_s=0.05, count=400, seed=1, late_share=0.0):
    """Note prompts of two sizes; a share of them is preempted."""
    rng = random.Random(seed)
    for number in range(count):
        tokens = rng.choice([800, 2_900, 9_200]) + rng.randrange(400)
        seconds = (start_s + tokens * token_s) * rng.uniform(0.8, 1.2)
        if rng.random() < late_share:
            seconds += 3
        speeds.note_prompt(
            'm',
            f'e{number % 5}',
            tokens=tokens,
            seconds=seconds,
            now=number / 8,
        )


class TestServerSpeeds:
    @pytest.mark.parametrize('per_s', [20_000, 51_000, 94_000])
    def test_reading_speed_is_learned(self, per_s):
        """Guards against the speed of one deployment as a constant."""
        speeds = ServerSpeeds()
        feed(speeds, token_s=1 / per_s)
        assert speeds.token_s('m') == pytest.approx(1 / per_s, rel=0.2)
        assert speeds.start_s('m') == pytest.approx(0.05, rel=0.3)

    def test_late_answers_of_preempted_requests_change_little(self):
        """Guards against engines that seem slow because requests waited."""
        speeds = ServerSpeeds()
        feed(speeds, token_s=1 / 90_000, late_share=0.02)
        assert speeds.token_s('m') < 1.5 / 90_000

    def test_requests_of_one_size_leave_the_start_value(self):
        """Guards against a slope through points on one spot."""
        speeds = ServerSpeeds()
        for number in range(500):
            speeds.note_prompt(
                'm', 'e1', tokens=5_000, seconds=0.15, now=number
            )
        assert 0.2 < speeds.token_s('m') / INITIAL_TOKEN_S < 5

    @pytest.mark.parametrize(
        'seconds', [0.0, -1.0, math.inf, math.nan, 1e9, 1e-9]
    )
    def test_absurd_samples_leave_values_in_bounds(self, seconds):
        """Guards against a clock fault that stops placement for good."""
        speeds = ServerSpeeds()
        feed(speeds, token_s=1 / 50_000)
        for _ in range(50):
            speeds.note_prompt('m', 'e1', tokens=10, seconds=seconds, now=60)
            speeds.note_call('p', 'p1', seconds=seconds, now=60)
        feed(speeds, token_s=1 / 50_000)
        assert speeds.token_s('m') == pytest.approx(1 / 50_000, rel=0.3)
        assert 0 < speeds.call_s('p') <= 5
        assert 0 < speeds.slowness('e1', 60) <= MAX_SLOWNESS

    def test_idle_time_changes_no_speed(self):
        """Guards against a slow start after a night without requests."""
        speeds = ServerSpeeds()
        feed(speeds, token_s=1 / 90_000)
        known = speeds.token_s('m')
        speeds.slowness('e1', 1e6)
        assert speeds.token_s('m') == known
        assert speeds.slowness('e1', 1e6) == pytest.approx(1)

    def test_slot_time_is_learned_within_bounds(self):
        """Guards against an expected wait of hours, or none, for a slot."""
        speeds = ServerSpeeds()
        for _ in range(500):
            speeds.note_slot('m', 1.8)
        assert speeds.slot_s('m') == pytest.approx(1.8, rel=0.05)
        for seconds in (math.inf, math.nan, -5.0, 0.0):
            speeds.note_slot('m', seconds)
        assert 1.5 < speeds.slot_s('m') < 3

    def test_plain_calls_are_learned_by_service(self):
        """Guards against one time for calls of 22 and of 90 ms."""
        speeds = ServerSpeeds()
        for number in range(500):
            speeds.note_call('p', 'p1', seconds=0.09, now=number)
            speeds.note_call('q', 'q1', seconds=0.0225, now=number)
        assert speeds.call_s('p') == pytest.approx(0.09, rel=0.05)
        assert speeds.call_s('q') == pytest.approx(0.0225, rel=0.05)
