"""Stateful fuzzing of budget managers, and faults that it must catch."""

from dataclasses import replace

import pytest

from oriolegauge.budget import holdercloser, shard, shardlog, writeplanner
from oriolegauge.budget.journal import Journal
from oriolegauge.budget.remotereservations import RemoteReservations
from oriolegauge.budget.settledkeys import SettledKeys
from oriolegauge.budget.settler import Settler
from oriolegauge.core.rendezvous import first
from oriolegauge.testkit import StoreFault
from oriolegauge.testkit.fuzzing import Budget

from .budgetmachine import BudgetMachine

NAMES = ('d0', 'd1', 'd2')
HUB = first('a/x', NAMES)
OTHERS = sorted({*NAMES} - {HUB})


async def assume_not_applied(log, stored, sealed):
    log._clear_unconfirmed()
    return stored


async def assume_applied(log, stored, sealed):
    log._clear_unconfirmed()
    log._confirm(stored, sealed.flush, sealed.sent_at)
    return stored


def without_positions(stored, flush):
    forgetful = {**stored, 'positions': {**stored['positions']}}
    forgetful['positions'].pop(flush.holder, None)
    return shard.apply_flush(forgetful, replace(flush, confirmed=0))


def play(machine_class, scenario):
    machine = machine_class()
    try:
        scenario(machine)
    finally:
        machine.teardown()


def release_without_memory(reservations, reservation_id):
    found = reservations._held.get(reservation_id)
    if found is not None:
        reservations._release(found.reservation)


def release_again(settler, reservation):
    if reservation.peer:
        settler.abandon(reservation.peer, reservation.reservation_id)
    else:
        settler._open.pop(reservation.reservation_id, None)
        log = settler._logs.of_budget(reservation.budget)
        log.account(reservation.budget).reserved -= reservation.tokens


def lose_answer(machine, fault):
    machine.begin([5000, 0])
    machine.serve(HUB, 'a/x', 100, 3, 0.05)
    machine.fail_puts(fault, 1)
    machine.flush(HUB, 0.4)


def lose_answer_of_applied_put(machine):
    lose_answer(machine, StoreFault.LOSE_AFTER)


def lose_answer_of_put_not_applied(machine):
    lose_answer(machine, StoreFault.LOSE_BEFORE)


def die_before_flush(machine):
    machine.begin([5000, 0])
    machine.serve(HUB, 'a/x', 100, 3, 0.05)
    machine.kill(HUB, is_replaced=False)
    machine.report_death(0, 0.4)


def wake_after_closure(machine):
    machine.begin([5000, 0])
    machine.serve(HUB, 'a/x', 100, 3, 0.05)
    machine.pause(HUB)
    machine.resume(is_closed=True)
    machine.flush(HUB, 0.4)
    machine.flush(OTHERS[0], 0.4)


def release_repeatedly(machine):
    machine.begin([700, 0])
    machine.network.repeat = 1.0
    for name in NAMES:
        for _ in range(3):
            machine.reserve(name, 'a/x', 200, 1, None, 0.02)
        for _ in range(3):
            machine.release(name, 0)
            machine.advance(0.6)
    for name in NAMES:
        machine.serve(name, 'a/x', 200, 4, 0.4)


def run_keyed_request_twice(machine, *, first, second):
    machine.begin([5000, 0])
    machine.reserve(first, 'a/x', 1, 1, 1, 0.4)
    machine.reserve(second, 'a/x', 1, 1, 1, 0.4)
    machine.settle(first, 0, 1, 0.4)
    machine.settle(second, 0, 1, 0.4)
    machine.flush(second, 0.4)
    machine.flush(first, 0.4)


def run_keyed_request_forwards(machine):
    run_keyed_request_twice(machine, first='d0', second='d1')


def run_keyed_request_backwards(machine):
    run_keyed_request_twice(machine, first='d1', second='d0')


def lose_holder_of_remote_reservation(machine):
    machine.begin([5000, 0])
    for name in NAMES:
        machine.reserve(name, 'a/x', 100, 1, None, 0.4)
    machine.kill(HUB, is_replaced=False)
    for name in machine.daemons:
        machine.settle(name, 0, 1, 0.4)
    machine.report_death(0, 0.4)


def lose_asker_of_remote_reservation(machine):
    machine.begin([5000, 0])
    for name in NAMES:
        machine.reserve(name, 'a/x', 100, 1, None, 0.4)
    asker = OTHERS[0]
    machine.network.cut(HUB, asker)
    machine.settle(asker, 0, 1, 0.4)
    machine.kill(asker, is_replaced=True)
    machine.report_death(0, 0.4)


def spend_in_outage_and_partition(machine):
    machine.begin([2000, 0])
    for name in NAMES:
        machine.serve(name, 'a/x', 100, 2, 0.1)
    machine.switch_store(StoreFault.OUTAGE)
    machine.cut_link('d0', 'd1')
    machine.cut_link('d0', 'd2')
    for name in NAMES:
        machine.serve(name, 'a/x', 150, 8, 1)
    machine.top_up('a/x', 500)


def drain_in_outage(machine):
    machine.begin([5000, 0])
    machine.serve(HUB, 'a/x', 100, 3, 0.05)
    machine.switch_store(StoreFault.OUTAGE)
    machine.spawn(machine.daemons[HUB].manager.drain())
    machine.run(1)
    machine.kill(HUB, is_replaced=False)
    machine.heal()
    for name in OTHERS:
        machine.flush(name, 0.4)
    assert not machine.record('a/x')['grants']


SCENARIOS = (
    drain_in_outage,
    lose_answer_of_applied_put,
    lose_answer_of_put_not_applied,
    die_before_flush,
    wake_after_closure,
    release_repeatedly,
    run_keyed_request_forwards,
    run_keyed_request_backwards,
    lose_holder_of_remote_reservation,
    lose_asker_of_remote_reservation,
    spend_in_outage_and_partition,
)


class TestBudgetMachine:
    @pytest.mark.fuzz
    def test_no_overspend_and_no_lost_or_double_bill(self):
        """Guards P1 and P2 under faults of store, links and processes."""
        Budget(15, 40).run_machine(BudgetMachine)

    @pytest.mark.parametrize('scenario', SCENARIOS)
    def test_bill_after_one_failure(self, scenario):
        """Guards P1 and P2 in the failure that the scenario is named after."""
        play(BudgetMachine, scenario)


class TestBrokenVariants:
    """Each variant re-introduces one fault, which the oracle must see."""

    def test_entries_applied_without_position_check(self, monkeypatch):
        monkeypatch.setattr(shardlog, 'apply_flush', without_positions)
        monkeypatch.setattr(writeplanner, 'apply_flush', without_positions)
        monkeypatch.setattr(shardlog.ShardLog, '_resolve', assume_not_applied)
        with pytest.raises(AssertionError):
            play(BudgetMachine, lose_answer_of_applied_put)

    def test_lost_answer_taken_as_applied(self, monkeypatch):
        monkeypatch.setattr(shardlog.ShardLog, '_resolve', assume_applied)
        with pytest.raises(AssertionError):
            play(BudgetMachine, lose_answer_of_put_not_applied)

    def test_closing_without_journals(self, monkeypatch):
        monkeypatch.setattr(
            holdercloser.HolderCloser, '_add_entries', lambda *_: None
        )
        monkeypatch.setattr(Journal, 'reconcile', lambda *_: {})
        with pytest.raises(AssertionError):
            play(BudgetMachine, die_before_flush)

    def test_no_closed_check(self, monkeypatch):
        monkeypatch.setattr(shardlog, 'is_closed', lambda *_: False)
        monkeypatch.setattr(shard, 'is_closed', lambda *_: False)
        with pytest.raises(AssertionError):
            play(BudgetMachine, wake_after_closure)

    def test_refund_without_limit(self, monkeypatch):
        monkeypatch.setattr(Settler, 'release', release_again)
        monkeypatch.setattr(
            RemoteReservations, 'release', release_without_memory
        )
        with pytest.raises(AssertionError):
            play(BudgetMachine, release_repeatedly)

    @pytest.mark.parametrize(
        'scenario', [run_keyed_request_forwards, run_keyed_request_backwards]
    )
    def test_keyed_request_billed_again(self, monkeypatch, scenario):
        monkeypatch.setattr(SettledKeys, 'add', lambda *_: True)
        with pytest.raises(AssertionError):
            play(BudgetMachine, scenario)
