import json
import time

from tests.fleet import chat
from tests.load import Load, settled, wait_until
from tests.scenario import (
    bill_equals,
    start,
)


class TestStoreFailure:
    def test_outage_with_lost_answers(self, fleet):
        """Guards against a doubled bill when store answers are lost."""
        start(fleet)
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(0.5)
            fleet.faults('platform', lose_answers=15)
            time.sleep(1)
            fleet.faults('platform', outage=True)
            before = load.answered
            time.sleep(3)
            assert load.answered > before + 10
            fleet.faults('platform', outage=False, lose_answers=5)
            time.sleep(1)
        wait_until(lambda: bill_equals(fleet, load))

    def test_daemon_cut_off_from_the_store_serves_a_top_up(self, fleet):
        """Guards against false refusals at a daemon without the store."""
        fleet.link_to_store('d1')
        start(fleet, tokens=400)
        fleet.set_links('cut', 'd1-store')
        with Load(fleet, ['d1'], threads=2) as load:
            wait_until(lambda: load.errors['budget_exhausted'] > 2)
            fleet.operate('top-up', 'cafes/main', '--tokens', '9000')
            before = load.answered
            wait_until(lambda: load.answered > before + 5)
        fleet.set_links('pass', 'd1-store')
        wait_until(lambda: bill_equals(fleet, load))

    def test_unused_budget_in_an_outage(self, fleet):
        """Guards against an outage that is told as a spent budget."""
        start(fleet)
        fleet.faults('platform', outage=True)
        answer = chat(fleet.url('d1'), fleet.key, 'Hello [len=2]')
        fleet.faults('platform', outage=False)
        error = json.loads(answer[2])['error']
        assert error['name'] == 'store_unavailable'
        assert error['run_state'] == 'not_run'
        assert error['retry_after_s']

    def test_start_during_an_outage(self, fleet):
        """Guards against a replaced daemon that cannot start."""
        start(fleet)
        # Grants exist only for budgets in use; an outage pools those.
        with Load(fleet, ['d1']):
            time.sleep(0.5)
        fleet.processes['d2'].kill()
        fleet.faults('platform', outage=True)
        fleet.start_daemon('d2')
        answer = chat(fleet.url('d2'), fleet.key, 'Hello [len=2]')
        fleet.faults('platform', outage=False)
        assert answer[0] == 200


class TestPartition:
    def test_isolated_daemon_never_overspends(self, fleet):
        """Guards against two sides that spend the same tokens."""
        fleet.link_to_store('d1')
        fleet.link_between('d1', 'd2', 'd3')
        start(fleet, tokens=5_000)
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
            fleet.set_links('freeze', *sides)
            time.sleep(3)
            fleet.operate('top-up', 'cafes/main', '--tokens', '500')
            time.sleep(1)
            fleet.set_links('pass', *sides)
            time.sleep(2)
        total = isolated.billed + rest.billed
        assert total <= 5_500
        wait_until(lambda: settled(fleet)['settled'] == total)
