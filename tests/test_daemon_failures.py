import json
import time

from tests.fleet import chat, fetch
from tests.load import Load, settled, wait_until
from tests.scenario import (
    DAEMONS,
    Stream,
    bill_equals,
    start,
    text_of,
    whole,
)


class TestDaemonDeath:
    def test_retry_after_the_owner_died_gets_the_whole_answer(self, fleet):
        """Guards against a lost or doubled bill when an owner is killed."""
        start(fleet)
        streams = [Stream(fleet, name, 'kettle') for name in DAEMONS]
        time.sleep(0.2)
        owner = max(
            DAEMONS, key=lambda name: fleet.state(name)['running_keyed']
        )
        fleet.processes[owner].kill()
        for stream in streams:
            stream.wait()
        alive = [name for name in DAEMONS if name != owner]
        again = Stream(fleet, alive[0], 'kettle').wait()
        assert whole(again)
        assert text_of(again[2]).count(' ') == 150
        once_more = Stream(fleet, alive[1], 'kettle').wait()
        assert text_of(once_more[2]) == text_of(again[2])
        billed = json.loads(again[2].splitlines()[-4].removeprefix(b'data: '))[
            'oriolegauge'
        ]['billed_tokens']
        wait_until(lambda: settled(fleet)['settled'] == billed)

    def test_grants_of_a_dead_daemon_return(self, fleet):
        """Guards against tokens that stay with a dead daemon."""
        start(fleet, tokens=6_000)
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(1)
            fleet.processes['d1'].kill()
            load.daemons = ['d2', 'd3']
            time.sleep(1)
        wait_until(lambda: bill_equals(fleet, load))

        def closed():
            shard = json.loads(fetch(f'{fleet.store_url}/objects/budgets/0')[2])
            grants = shard['value']['budgets']['cafes/main']['grants']
            return not any(
                holder.startswith('d1/') and tokens
                for holder, tokens in grants.items()
            )

        assert wait_until(closed) < 5

    def test_no_false_refusal_while_a_grant_returns(self, fleet):
        """Guards against a refusal while a dead daemon holds the rest."""
        start(fleet, tokens=1_500)
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
        alive = [name for name in DAEMONS if name != richest]
        answers = [
            chat(fleet.url(name), fleet.key, 'Again [len=2]', max_tokens=200)
            for name in alive
        ]
        assert [answer[0] for answer in answers] == [200, 200]

    def test_two_deaths_lose_no_bill(self, fleet):
        """Guards against settlements that only the dead daemons knew."""
        start(fleet)
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(1)
            fleet.processes['d1'].kill()
            fleet.processes['d2'].kill()
            load.daemons = ['d3']
            time.sleep(1)
        wait_until(lambda: bill_equals(fleet, load))

    def test_frozen_daemon_that_wakes(self, fleet):
        """Guards against spending by a daemon that was paused."""
        start(fleet, tokens=6_000)
        with Load(fleet, ['d2', 'd3']) as load:
            time.sleep(0.5)
            fleet.processes['d1'].freeze()
            time.sleep(3)
            fleet.processes['d1'].wake()
            load.daemons = ['d1', 'd2', 'd3']
            time.sleep(1)
        wait_until(lambda: bill_equals(fleet, load))
