import contextlib
import json
import time

import pytest

from tests.fleet import chat, fetch
from tests.load import Load
from tests.scenario import (
    DAEMONS,
    StreamedRequest,
    is_complete,
    start_fleet,
    streamed_text,
)


class TestEngineFailure:
    def test_stream_resumes_on_another_engine(self, fleet):
        """Guards against truncated or mixed answers when an engine crashes."""
        start_fleet(fleet)
        unbroken = StreamedRequest(fleet, 'd1').wait()
        stream = StreamedRequest(fleet, 'd1')
        servers = fleet.state('d1')['servers']
        busy = max(servers, key=lambda name: servers[name]['in_flight'])
        fleet.processes[busy].kill()
        resumed = stream.wait()
        assert is_complete(resumed)
        assert streamed_text(resumed[2]) == streamed_text(unbroken[2])

    def test_crashing_request_kills_at_most_two_engines(self, fleet):
        """Guards against a request that crashes one engine per retry."""
        start_fleet(fleet)
        for attempt in range(6):
            daemon = list(DAEMONS)[attempt % len(DAEMONS)]
            with contextlib.suppress(OSError):
                answer = chat(fleet.url(daemon), fleet.key, 'Boom [crash]')
        assert json.loads(answer[2])['error']['name'] == 'quarantined'
        survivors = [
            name
            for name in ('e1', 'e2', 'e3')
            if fleet.processes[name].child.poll() is None
        ]
        assert len(survivors) >= 1
        assert chat(fleet.url('d2'), fleet.key, 'Hi [len=2]')[0] == 200

    @pytest.mark.parametrize('source', ['config', 'load_report', 'host_list'])
    def test_leaving_engine_gets_no_new_work(self, fleet, source):
        """Guards against requests to a server that any source calls leaving."""
        start_fleet(fleet)
        match source:
            case 'config':
                fleet.operate('server', 'leave', 'e1')
            case 'load_report':
                fleet.set_faults('e1', leaving=True)
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
