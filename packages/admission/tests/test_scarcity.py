"""Decisions on single requests, by condition."""

import dataclasses

import pytest

from oriolegauge.admission.scarcity import (
    Ample,
    GoOn,
    Need,
    Overdue,
    Refuse,
    Scarce,
    Supply,
    Wait,
    assess,
    decide,
)

NEED = Need(
    rank=1,
    mark=0.9,
    objective_s=1.0,
    objective_left_s=1.0,
    left_s=5.0,
    hold_s=0.1,
)
FULL = Supply(busy_share=0.95, wait_s=0.1, reading_s=0, slots=100)


def needing(**changes):
    return dataclasses.replace(NEED, **changes)


def supplied(**changes):
    return dataclasses.replace(FULL, **changes)


def decided(need, supply, queue_s=0.1, *, has_line=False):
    condition = assess(need, supply, queue_s=queue_s, has_line=has_line)
    return decide(need, condition)


class TestDecision:
    @pytest.mark.parametrize(
        ('need', 'supply', 'queue_s', 'expected'),
        [
            (needing(mark=1.0), FULL, 0.1, GoOn()),
            (NEED, FULL, 0.1, Wait(0.9, is_promised=True)),
            (NEED, FULL, 0.6, Wait(0.1, is_promised=False)),
            (NEED, FULL, None, Wait(0.1, is_promised=False)),
            # The caller is gone before the objective.
            (
                needing(left_s=0.3, objective_left_s=0.3),
                FULL,
                0.05,
                Wait(pytest.approx(0.2), is_promised=True),
            ),
        ],
    )
    def test_request_that_can_be_served_in_time_is_not_refused(
        self, need, supply, queue_s, expected
    ):
        """Guards against refusals of work that only has to wait."""
        assert decided(need, supply, queue_s) == expected

    @pytest.mark.parametrize(
        ('need', 'supply', 'queue_s', 'retry_after_s'),
        [
            (NEED, FULL, 2.0, 2.0),
            (needing(hold_s=0), FULL, 0.6, 0.6),
            (NEED, supplied(wait_s=1.5), 0.2, 0.7),
            (NEED, supplied(wait_s=7.0), 0.2, 2.0),
        ],
    )
    def test_request_that_can_not_be_served_is_refused_at_once(
        self, need, supply, queue_s, retry_after_s
    ):
        """Guards against requests that are held until their deadline."""
        decision = decided(need, supply, queue_s)
        assert isinstance(decision, Refuse)
        assert decision.retry_after_s == pytest.approx(retry_after_s)

    @pytest.mark.parametrize('wait_s', [0.1, 2.0, 9.0])
    @pytest.mark.parametrize('reading_s', [0.0, 9.0])
    @pytest.mark.parametrize('has_line', [False, True])
    @pytest.mark.parametrize('hold_s', [0.1, 0.0])
    def test_nothing_is_refused_while_half_of_the_slots_are_free(
        self, wait_s, reading_s, has_line, hold_s
    ):
        """Guards against refusals by other signs than taken slots."""
        supply = Supply(
            busy_share=0.49, wait_s=wait_s, reading_s=reading_s, slots=100
        )
        need = needing(hold_s=hold_s, reading_bound_s=0.2)
        decision = decided(need, supply, 9.0, has_line=has_line)
        assert not isinstance(decision, Refuse)
        if isinstance(decision, Wait):
            assert decision.seconds <= need.objective_s / 8


class TestConditions:
    def test_long_own_prompt_is_no_scarcity(self):
        """Guards against large requests that are refused on idle servers."""
        supply = supplied(busy_share=0.6, wait_s=2.0, reading_s=0.01)
        condition = assess(NEED, supply, queue_s=0.1, has_line=False)
        assert condition == Ample()

    def test_backlog_of_reading_holds_long_prompts_back_first(self):
        """Guards against long prompts that stop running streams."""
        supply = supplied(busy_share=0.6, reading_s=0.2)
        long = needing(reading_bound_s=0.15)
        condition = assess(long, supply, queue_s=0.1, has_line=False)
        assert isinstance(condition, Scarce)
        assert assess(NEED, supply, queue_s=0.1, has_line=False) == Ample()

    def test_urgent_request_counts_only_what_it_can_not_preempt(self):
        """Guards against low work in the slots that shuts out urgent work."""
        urgent = needing(rank=0, mark=1.0, share_ahead=0.4)
        condition = assess(
            urgent, supplied(busy_share=1.3), queue_s=0.1, has_line=False
        )
        assert condition == Ample()

    def test_answer_after_the_deadline_is_overdue(self):
        """Guards against work whose caller is gone before it begins."""
        condition = assess(
            NEED, supplied(wait_s=6.0), queue_s=0.1, has_line=False
        )
        assert condition == Overdue(1.0)
