import json
import threading
import time

import pytest

from tests.fleet import chat, fetch
from tests.load import Load, wait_until
from tests.scenario import (
    DAEMONS,
    StreamedRequest,
    is_bill_equal,
    is_complete,
    start_fleet,
    streamed_text,
)


class TestStragglers:
    def test_short_request_overtakes_long_streams(self, fleet):
        """Guards against long streams that occupy every slot of the servers."""
        start_fleet(fleet)
        fleet.operate('server', 'leave', 'e2')
        fleet.operate('server', 'leave', 'e3')
        time.sleep(1)
        question = 'Explain brakes [len=1400]'
        answers = []

        def ask():
            answers.append(
                chat(
                    fleet.url('d1'),
                    fleet.key,
                    question,
                    max_tokens=1500,
                    stream=True,
                )
            )

        threads = [threading.Thread(target=ask) for _ in range(9)]
        for thread in threads:
            thread.start()
        wait_until(lambda: fleet.state('d1')['servers']['e1']['in_flight'] > 7)
        time.sleep(3)
        short = chat(fleet.url('d1'), fleet.key, 'Hi [len=3]')
        assert short[0] == 200
        assert not answers
        for thread in threads:
            thread.join()
        texts = {streamed_text(answer[2]) for answer in answers}
        assert len(texts) == 1
        assert texts.pop().count(' ') == 1400


class TestPlacement:
    def test_model_is_loaded_once_on_as_many_engines_as_set(self, fleet):
        """Guards against missing, doubled or unfenced load orders."""
        start_fleet(fleet)
        key = 'config/servers'
        tree = json.loads(fetch(f'{fleet.store_url}/objects/{key}')[2])
        value = tree['value']
        for entry in value['engines'].values():
            entry |= {'may_load': ['bicycle-3b'], 'room': 2}
        value['goals'] = {'bicycle-3b': {'min_servers': 1}}
        fetch(
            f'{fleet.store_url}/objects/{key}',
            method='PUT',
            body=value,
            headers={'If-Match': str(tree['version'])},
        )

        def served():
            answer = chat(
                fleet.url('d2'), fleet.key, 'x [len=2]', model='bicycle-3b'
            )
            return answer[0] == 200

        wait_until(served, 20)
        time.sleep(5)
        orders = [fleet.runs(name)['orders'] for name in ('e1', 'e2', 'e3')]
        assert sorted(map(len, orders)) == [0, 0, 1]
        assert max(orders, key=len)[0]['fencing'] > 0


class TestDrain:
    @pytest.mark.parametrize('outage', [False, True])
    def test_drain_cuts_no_stream_and_loses_no_bill(self, fleet, outage):
        """Guards against truncated streams and lost bills at a shutdown."""
        start_fleet(fleet)
        with Load(fleet, ['d2', 'd3'], threads=2) as load:
            stream = StreamedRequest(fleet, 'd1')
            if outage:
                fleet.set_faults('platform', outage=True)
            for _ in range(2):
                fetch(f'{fleet.admin_url("d1")}/drain', method='POST')
            answer = stream.wait()
            assert is_complete(answer)
            assert fleet.processes['d1'].child.wait(20) == 0
            if outage:
                fleet.set_faults('platform', outage=False)
            time.sleep(0.5)
        load.billed += json.loads(
            answer[2].splitlines()[-4].removeprefix(b'data: ')
        )['oriolegauge']['billed_tokens']
        wait_until(lambda: is_bill_equal(fleet, load))


class TestConfiguration:
    def test_change_reaches_every_daemon(self, fleet):
        """Guards against a daemon that keeps a stale configuration."""
        start_fleet(fleet)
        fleet.operate('team', 'create', 'riders')

        def everywhere():
            return all(
                'config/teams/riders' in fleet.state(name)['config_versions']
                for name in DAEMONS
            )

        assert wait_until(everywhere) < 5

    def test_concurrent_operators_lose_no_change(self, fleet):
        """Guards against an update that overwrites another one."""
        start_fleet(fleet)
        codes = []

        def create(number):
            done = fleet.operate('key', 'create', 'cafes/main', check=False)
            codes.append((number, done.returncode))

        threads = [
            threading.Thread(target=create, args=(number,))
            for number in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = sum(code == 0 for _, code in codes)
        assert {code for _, code in codes} <= {0, 51}
        tree = json.loads(
            fetch(f'{fleet.store_url}/objects/config/teams/cafes')[2]
        )
        assert len(tree['value']['keys']) == accepted + 1
