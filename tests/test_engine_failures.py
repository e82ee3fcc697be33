import contextlib
import json
import time

import pytest

from tests.fleet import chat, fetch
from tests.load import Load
from tests.scenario import (
    DAEMONS,
    Stream,
    start,
    text_of,
    whole,
)


class TestEngineFailure:
    def test_stream_goes_on_at_another_engine(self, fleet):
        """Guards against cut or mixed answers when an engine dies."""
        start(fleet)
        unbroken = Stream(fleet, 'd1').wait()
        stream = Stream(fleet, 'd1')
        servers = fleet.state('d1')['servers']
        busy = max(servers, key=lambda name: servers[name]['in_flight'])
        fleet.processes[busy].kill()
        resumed = stream.wait()
        assert whole(resumed)
        assert text_of(resumed[2]) == text_of(unbroken[2])

    def test_crashing_request_costs_two_engines_at_most(self, fleet):
        """Guards against a request that takes down one engine per retry."""
        start(fleet)
        for attempt in range(6):
            daemon = list(DAEMONS)[attempt % len(DAEMONS)]
            with contextlib.suppress(OSError):
                answer = chat(fleet.url(daemon), fleet.key, 'Boom [crash]')
        assert json.loads(answer[2])['error']['name'] == 'quarantined'
        alive = [
            name
            for name in ('e1', 'e2', 'e3')
            if fleet.processes[name].child.poll() is None
        ]
        assert len(alive) >= 1
        assert chat(fleet.url('d2'), fleet.key, 'Hi [len=2]')[0] == 200

    @pytest.mark.parametrize('source', ['config', 'load_report', 'host_list'])
    def test_leaving_engine_gets_no_new_work(self, fleet, source):
        """Guards against new work at a server that leaves, by any source."""
        start(fleet)
        match source:
            case 'config':
                fleet.operate('server', 'leave', 'e1')
            case 'load_report':
                fleet.faults('e1', leaving=True)
            case _:
                hosts = [
                    {
                        'name': 'e1',
                        'address': '127.0.0.1',
                        'zone': 'a',
                        'state': 'leaving',
                    }
                ]
                fetch(
                    f'{fleet.store_url}/admin/hosts',
                    method='PUT',
                    body={'items': hosts},
                )
        time.sleep(3)
        before = sum(fleet.runs('e1')['runs'].values())
        with Load(fleet, ['d1', 'd2', 'd3']) as load:
            time.sleep(1)
        assert load.answered > 5
        assert sum(fleet.runs('e1')['runs'].values()) == before
