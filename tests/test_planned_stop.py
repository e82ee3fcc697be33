import json
import signal
import socket
import threading
import time

import pytest

from tests.fleet import chat, fetch
from tests.load import wait_until
from tests.ports import HOST
from tests.scenario import is_complete, streamed_text

DRAIN_NOTICE_S = 1.0
# Shortly before the notice ends.
LATE_S = 0.8
# Longer than the notice and several times DRAIN_POLL_S.
SERVICE_DELAY_S = 2.5
TOKENS = 400


class LateCall:
    """One call in its own thread."""

    def __init__(self, ask):
        self.answer = None
        self._ask = ask
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        self.answer = self._ask()

    def wait(self):
        self._thread.join(20)
        return self.answer


@pytest.fixture
def daemon(fleet):
    """Start d1 alone, with an engine and a service."""
    fleet.start_service('parts')
    fleet.add_service('parts')
    fleet.daemon_settings['d1']['drain_notice_s'] = DRAIN_NOTICE_S
    fleet.start_daemon('d1')
    fleet.key = fleet.create_team('cafes', tokens=60_000)
    fleet.set_faults('parts', delay_s=SERVICE_DELAY_S)
    return fleet


def reserve_part(fleet, reference, key=''):
    headers = {
        'Authorization': f'Bearer {fleet.key}',
        'X-Reference': reference,
    }
    if key:
        headers['Idempotency-Key'] = key
    return fetch(
        f'{fleet.url("d1")}/services/parts/reserve',
        method='POST',
        body='fuse',
        headers=headers,
    )


def complete(fleet, *, stream):
    return chat(
        fleet.url('d1'),
        fleet.key,
        f'Late [len={TOKENS}]',
        max_tokens=TOKENS + 1,
        stream=stream,
    )


class TestLateRequests:
    def test_request_late_in_the_notice_is_answered(self, daemon):
        """Guards against work that is passed on and cut without an answer."""
        process = daemon.processes['d1'].child
        process.send_signal(signal.SIGTERM)
        time.sleep(LATE_S)
        calls = [
            LateCall(lambda: reserve_part(daemon, 'plain')),
            LateCall(lambda: reserve_part(daemon, 'keyed', key='k1')),
            LateCall(lambda: complete(daemon, stream=False)),
            LateCall(lambda: complete(daemon, stream=True)),
        ]
        time.sleep(DRAIN_NOTICE_S - LATE_S + 0.5)
        process.send_signal(signal.SIGTERM)
        refused = reserve_part(daemon, 'after')
        error = json.loads(refused[2])['error']
        assert (error['name'], error['run_state']) == ('draining', 'not_run')
        answers = [call.wait() for call in calls]
        assert process.wait(20) == 0
        assert [answer[0] for answer in answers] == [200] * 4
        assert is_complete(answers[-1])
        assert streamed_text(answers[-1][2]).count(' ') == TOKENS
        assert daemon.runs('parts') == {'plain': 1, 'keyed': 1}

    def test_unfinished_upload_does_not_hold_the_daemon(self, daemon):
        """Guards against a daemon that keeps its grants until it is killed.

        A request whose body is incomplete when the notice ends is refused in
        any case.
        """
        process = daemon.processes['d1'].child
        port = daemon.ports['d1']
        with socket.create_connection((HOST, port), timeout=10) as connection:
            connection.sendall(
                b'POST /services/parts/reserve HTTP/1.1\r\nHost: d1\r\n'
                b'Content-Length: 100\r\n\r\nfuse'
            )
            assert complete(daemon, stream=False)[0] == 200
            assert granted_tokens(daemon) > 0
            process.send_signal(signal.SIGTERM)
            time.sleep(DRAIN_NOTICE_S + 0.5)
            answer = connection.recv(65_536)
            wait_until(lambda: granted_tokens(daemon) == 0, 5)
        assert b' 503 ' in answer.splitlines()[0]
        assert b'"not_run"' in answer
        assert process.wait(20) == 0


def granted_tokens(fleet):
    shard = json.loads(fetch(f'{fleet.store_url}/objects/budgets/0')[2])
    return sum(
        shard['value']['budgets']['cafes/main'].get('grants', {}).values()
    )
