"""Stateful fuzzing of budget managers, and faults that it must catch."""

import pytest
from hypothesis import Phase

from oriolegauge.budget import holdercloser, remotereservations, shard, shardlog
from oriolegauge.budget.settledkeys import SettledKeys
from oriolegauge.budget.settler import Settler


async def assume_not_applied(log, stored, sealed):
    log._unseal()
    return stored


async def assume_applied(log, stored, sealed):
    log._unseal()
    log._confirm(stored, sealed.flush, sealed.sent_at)
    return stored


def without_positions(stored, flush):
    forgetful = {**stored, 'positions': {**stored['positions']}}
    forgetful['positions'].pop(flush.holder, None)
    return shard.apply_flush(forgetful, flush)


def release_again(settler, reservation):
    log = settler._logs.of_budget(reservation.budget)
    if not reservation.peer:
        settler._open.pop(reservation.reservation_id, None)
        log.account(reservation.budget).reserved -= reservation.tokens


class TestBudgetMachine:
    @pytest.mark.fuzz
    def test_no_overspend_and_no_lost_or_double_bill(
        self, budget_machine, run_budget_machine
    ):
        """Guards P1 and P2 under faults of store, links and processes."""
        run_budget_machine(budget_machine)


class TestBrokenVariants:
    """Each variant re-introduces one fault; the machine must fail with it."""

    @pytest.fixture
    def assert_caught(self, budget_machine, run_budget_machine):
        def run():
            with pytest.raises((AssertionError, ExceptionGroup)):
                run_budget_machine(
                    budget_machine,
                    examples=300,
                    steps=60,
                    phases=(Phase.generate,),
                )

        return run

    def test_entries_applied_without_position_check(
        self, monkeypatch, assert_caught
    ):
        monkeypatch.setattr(shardlog, 'apply_flush', without_positions)
        monkeypatch.setattr(shardlog.ShardLog, '_resolve', assume_not_applied)
        assert_caught()

    def test_lost_answer_taken_as_applied(self, monkeypatch, assert_caught):
        monkeypatch.setattr(shardlog.ShardLog, '_resolve', assume_applied)
        assert_caught()

    def test_closing_without_journals(self, monkeypatch, assert_caught):
        monkeypatch.setattr(
            holdercloser.HolderCloser, '_add_entries', lambda *_: None
        )
        assert_caught()

    def test_no_closed_check(self, monkeypatch, assert_caught):
        monkeypatch.setattr(shardlog, 'is_closed', lambda *_: False)
        monkeypatch.setattr(shard, 'is_closed', lambda *_: False)
        assert_caught()

    def test_refund_without_limit(self, monkeypatch, assert_caught):
        monkeypatch.setattr(Settler, 'release', release_again)
        monkeypatch.setattr(
            remotereservations.RemoteReservations,
            'outcome',
            lambda *_: None,
        )
        assert_caught()

    def test_keyed_request_billed_again(self, monkeypatch, assert_caught):
        monkeypatch.setattr(SettledKeys, 'add', lambda *_: True)
        assert_caught()
