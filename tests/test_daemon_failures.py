import json
import time

from tests.fleet import chat, fetch
from tests.load import Load, first_budget_bill, wait_until
from tests.scenario import (
    DAEMONS,
    StreamedRequest,
    is_bill_equal,
    is_complete,
    start_fleet,
    streamed_text,
)


class TestDaemonCrash:
    def test_retry_after_owner_crash_gets_whole_answer(self, fleet):
        """Guards against a lost or doubled bill when an owner is killed."""
        start_fleet(fleet)
        streams = [StreamedRequest(fleet, name, 'kettle') for name in DAEMONS]
        time.sleep(0.2)
        owner = max(
            DAEMONS, key=lambda name: fleet.state(name)['running_keyed']
        )
        fleet.processes[owner].kill()
        for stream in streams:
            stream.wait()
        survivors = [name for name in DAEMONS if name != owner]
        again = StreamedRequest(fleet, survivors[0], 'kettle').wait()
        assert is_complete(again)
        assert streamed_text(again[2]).count(' ') == 150
        once_more = StreamedRequest(fleet, survivors[1], 'kettle').wait()
        assert streamed_text(once_more[2]) == streamed_text(again[2])
        billed = json.loads(again[2].splitlines()[-4].removeprefix(b'data: '))[
            'oriolegauge'
        ]['billed_tokens']
        wait_until(lambda: first_budget_bill(fleet)['settled'] == billed)

    def test_grants_of_a_crashed_daemon_are_returned(self, fleet):
        """Guards against grants that a crashed daemon keeps for ever."""
        start_fleet(fleet, tokens=6_000)
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(1)
            fleet.processes['d1'].kill()
            load.daemons = ['d2', 'd3']
            time.sleep(1)
        wait_until(lambda: is_bill_equal(fleet, load))

        def closed():
            shard = json.loads(fetch(f'{fleet.store_url}/objects/budgets/0')[2])
            grants = shard['value']['budgets']['cafes/main']['grants']
            return not any(
                holder.startswith('d1/') and tokens
                for holder, tokens in grants.items()
            )

        assert wait_until(closed) < 5

    def test_no_false_refusal_while_grant_is_returned(self, fleet):
        """Guards against a refusal while a crashed daemon holds the last grant.

        The daemon with the most granted tokens is killed; both survivors must
        wait for its grant instead of refusing.
        """
        start_fleet(fleet, tokens=1_500)
        for number in range(6):
            name = list(DAEMONS)[number % len(DAEMONS)]
            chat(fleet.url(name), fleet.key, f'Warm {number} [len=2]')

        def granted(name):
            shards = fleet.state(name)['budgets']['shards']
            return sum(
                account['granted']
                for shard in shards
                for account in shard['budgets'].values()
            )

        richest = max(DAEMONS, key=granted)
        fleet.processes[richest].kill()
        survivors = [name for name in DAEMONS if name != richest]
        answers = [
            chat(fleet.url(name), fleet.key, 'Again [len=2]', max_tokens=200)
            for name in survivors
        ]
        assert [answer[0] for answer in answers] == [200, 200]

    def test_two_crashes_lose_no_bill(self, fleet):
        """Guards against settlements that only the crashed daemons held."""
        start_fleet(fleet)
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(1)
            fleet.processes['d1'].kill()
            fleet.processes['d2'].kill()
            load.daemons = ['d3']
            time.sleep(1)
        wait_until(lambda: is_bill_equal(fleet, load))

    def test_suspended_daemon_resumes_without_overspend(self, fleet):
        """Guards against a resumed daemon that spends grants taken back."""
        start_fleet(fleet, tokens=6_000)
        with Load(fleet, ['d2', 'd3']) as load:
            time.sleep(0.5)
            fleet.processes['d1'].suspend()
            time.sleep(3)
            fleet.processes['d1'].resume()
            load.daemons = ['d1', 'd2', 'd3']
            time.sleep(1)
        wait_until(lambda: is_bill_equal(fleet, load))
