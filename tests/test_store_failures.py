import json
import time

from tests.fleet import chat
from tests.load import Load, first_budget_bill, wait_until
from tests.scenario import (
    is_bill_equal,
    start_fleet,
)


class TestStoreFailure:
    def test_outage_with_lost_answers_bills_once(self, fleet):
        """Guards against a doubled bill when store answers are lost."""
        start_fleet(fleet)
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(0.5)
            fleet.set_faults('platform', lose_answers=15)
            time.sleep(1)
            fleet.set_faults('platform', outage=True)
            before = load.answered
            time.sleep(3)
            assert load.answered > before + 10
            fleet.set_faults('platform', outage=False, lose_answers=5)
            time.sleep(1)
        wait_until(lambda: is_bill_equal(fleet, load))

    def test_daemon_without_store_link_serves_a_top_up(self, fleet):
        """Guards against false refusals when one daemon cannot reach the store.

        Its peers can, and the top-up has to become usable through them.
        """
        fleet.relay_to_store('d1')
        start_fleet(fleet, tokens=400)
        fleet.set_relay_mode('cut', 'd1-store')
        with Load(fleet, ['d1'], threads=2) as load:
            wait_until(lambda: load.errors['budget_exhausted'] > 2)
            fleet.operate('top-up', 'cafes/main', '--tokens', '9000')
            before = load.answered
            wait_until(lambda: load.answered > before + 5)
        fleet.set_relay_mode('pass', 'd1-store')
        wait_until(lambda: is_bill_equal(fleet, load))

    def test_new_budget_is_refused_during_store_outage(self, fleet):
        """Guards against an outage reported as an exhausted budget."""
        start_fleet(fleet)
        fleet.set_faults('platform', outage=True)
        answer = chat(fleet.url('d1'), fleet.key, 'Hello [len=2]')
        fleet.set_faults('platform', outage=False)
        error = json.loads(answer[2])['error']
        assert error['name'] == 'store_unavailable'
        assert error['run_state'] == 'not_run'
        assert error['retry_after_s']

    def test_daemon_starts_during_store_outage(self, fleet):
        """Guards against a replacement daemon that needs the store to start."""
        start_fleet(fleet)
        # Only budgets in use have grants, which daemons share in an outage.
        with Load(fleet, ['d1']):
            time.sleep(0.5)
        fleet.processes['d2'].kill()
        fleet.set_faults('platform', outage=True)
        fleet.start_daemon('d2')
        answer = chat(fleet.url('d2'), fleet.key, 'Hello [len=2]')
        fleet.set_faults('platform', outage=False)
        assert answer[0] == 200


class TestPartition:
    def test_isolated_daemon_never_overspends(self, fleet):
        """Guards against tokens spent on both sides of a partition."""
        fleet.relay_to_store('d1')
        fleet.relay_between('d1', 'd2', 'd3')
        start_fleet(fleet, tokens=5_000)
        sides = [
            link
            for link in fleet.ports
            if link.startswith('d1-') or link.endswith('-d1')
        ]
        with (
            Load(fleet, ['d1'], prefix='cut') as isolated,
            Load(fleet, ['d2'], prefix='rest') as rest,
        ):
            time.sleep(0.5)
            fleet.set_relay_mode('freeze', *sides)
            time.sleep(3)
            fleet.operate('top-up', 'cafes/main', '--tokens', '500')
            time.sleep(1)
            fleet.set_relay_mode('pass', *sides)
            time.sleep(2)
        total = isolated.billed + rest.billed
        assert total <= 5_500
        wait_until(lambda: first_budget_bill(fleet)['settled'] == total)
