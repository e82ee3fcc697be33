"""Stateful tests of budget managers, and faults that they must detect.

Two invariants are checked: a budget is never overspent, and each delivered
answer is billed exactly once.
"""

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


async def assume_not_applied(log, stored, unconfirmed):
    log._clear_unconfirmed()
    return stored


async def assume_applied(log, stored, unconfirmed):
    log._clear_unconfirmed()
    log._confirm(stored, unconfirmed.flush, unconfirmed.sent_at)
    return stored


def without_positions(stored, flush):
    """Apply the flush to a shard that has no position of its holder."""
    forgetful = {**stored, 'positions': {**stored['positions']}}
    forgetful['positions'].pop(flush.holder, None)
    return shard.apply_flush(forgetful, replace(flush, confirmed=0))


def run_scenario(machine_class, scenario):
    machine = machine_class()
    try:
        scenario(machine)
    finally:
        machine.teardown()


def release_without_outcome(reservations, reservation_id):
    """Free a remote reservation, but keep it held and store no outcome."""
    found = reservations._held.get(reservation_id)
    if found is not None:
        reservations._release(found.reservation)


def release_again(settler, reservation):
    """Free a reservation even if it was freed before."""
    if reservation.peer:
        settler.release_at_peer(reservation.peer, reservation.reservation_id)
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


def crash_before_flush(machine):
    machine.begin([5000, 0])
    machine.serve(HUB, 'a/x', 100, 3, 0.05)
    machine.kill(HUB, is_replaced=False)
    machine.report_crash(0, 0.4)


def resume_after_closure(machine):
    """Let a daemon write entries after peers have closed its holder."""
    machine.begin([5000, 0])
    machine.serve(HUB, 'a/x', 100, 3, 0.05)
    machine.pause(HUB)
    machine.resume(is_closed=True)
    machine.flush(HUB, 0.4)
    machine.flush(OTHERS[0], 0.4)


def release_repeatedly(machine):
    """Deliver each message twice while reservations are released."""
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


def settle_keyed_twice(machine, *, first, second):
    """Settle the same request id at two daemons."""
    machine.begin([5000, 0])
    machine.reserve(first, 'a/x', 1, 1, 1, 0.4)
    machine.reserve(second, 'a/x', 1, 1, 1, 0.4)
    machine.settle(first, 0, 1, 0.4)
    machine.settle(second, 0, 1, 0.4)
    machine.flush(second, 0.4)
    machine.flush(first, 0.4)


def settle_keyed_at_d0_then_d1(machine):
    settle_keyed_twice(machine, first='d0', second='d1')


def settle_keyed_at_d1_then_d0(machine):
    settle_keyed_twice(machine, first='d1', second='d0')


def crash_holder_of_remote_reservation(machine):
    """Kill the hub, then settle the reservations that it held for peers."""
    machine.begin([5000, 0])
    for name in NAMES:
        machine.reserve(name, 'a/x', 100, 1, None, 0.4)
    machine.kill(HUB, is_replaced=False)
    for name in machine.daemons:
        machine.settle(name, 0, 1, 0.4)
    machine.report_crash(0, 0.4)


def crash_asker_of_remote_reservation(machine):
    """Kill a daemon whose settlement could not reach the hub."""
    machine.begin([5000, 0])
    for name in NAMES:
        machine.reserve(name, 'a/x', 100, 1, None, 0.4)
    asker = OTHERS[0]
    machine.network.cut(HUB, asker)
    machine.settle(asker, 0, 1, 0.4)
    machine.kill(asker, is_replaced=True)
    machine.report_crash(0, 0.4)


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
    """Drain the hub while only its peers can take over its entries."""
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
    crash_before_flush,
    resume_after_closure,
    release_repeatedly,
    settle_keyed_at_d0_then_d1,
    settle_keyed_at_d1_then_d0,
    crash_holder_of_remote_reservation,
    crash_asker_of_remote_reservation,
    spend_in_outage_and_partition,
)


class TestBudgetMachine:
    @pytest.mark.fuzz
    def test_no_overspend_and_no_lost_or_double_bill(self):
        """Guards both invariants under random faults.

        Store calls and links fail, and daemons are killed or suspended.
        """
        Budget(15, 40).run_machine(BudgetMachine)

    @pytest.mark.parametrize('scenario', SCENARIOS)
    def test_bills_are_exact_after_one_failure(self, scenario):
        """Guards both invariants in the failure that the scenario names."""
        run_scenario(BudgetMachine, scenario)


class TestBrokenVariants:
    """Each test adds one fault to the code, which the oracle must detect."""

    def test_missing_position_check_is_detected(self, monkeypatch):
        monkeypatch.setattr(shardlog, 'apply_flush', without_positions)
        monkeypatch.setattr(writeplanner, 'apply_flush', without_positions)
        monkeypatch.setattr(shardlog.ShardLog, '_resolve', assume_not_applied)
        with pytest.raises(AssertionError):
            run_scenario(BudgetMachine, lose_answer_of_applied_put)

    def test_lost_answer_assumed_applied_is_detected(self, monkeypatch):
        monkeypatch.setattr(shardlog.ShardLog, '_resolve', assume_applied)
        with pytest.raises(AssertionError):
            run_scenario(BudgetMachine, lose_answer_of_put_not_applied)

    def test_closure_without_journals_is_detected(self, monkeypatch):
        monkeypatch.setattr(
            holdercloser.HolderCloser, '_add_entries', lambda *_: None
        )
        monkeypatch.setattr(Journal, 'reconcile', lambda *_: {})
        with pytest.raises(AssertionError):
            run_scenario(BudgetMachine, crash_before_flush)

    def test_missing_closed_check_is_detected(self, monkeypatch):
        monkeypatch.setattr(shardlog, 'is_closed', lambda *_: False)
        monkeypatch.setattr(shard, 'is_closed', lambda *_: False)
        with pytest.raises(AssertionError):
            run_scenario(BudgetMachine, resume_after_closure)

    def test_repeated_refund_is_detected(self, monkeypatch):
        monkeypatch.setattr(Settler, 'release', release_again)
        monkeypatch.setattr(
            RemoteReservations, 'release', release_without_outcome
        )
        with pytest.raises(AssertionError):
            run_scenario(BudgetMachine, release_repeatedly)

    @pytest.mark.parametrize(
        'scenario', [settle_keyed_at_d0_then_d1, settle_keyed_at_d1_then_d0]
    )
    def test_repeated_keyed_bill_is_detected(self, monkeypatch, scenario):
        monkeypatch.setattr(SettledKeys, 'add', lambda *_: True)
        with pytest.raises(AssertionError):
            run_scenario(BudgetMachine, scenario)
