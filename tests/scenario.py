"""Steps shared by the failure tests."""

import contextlib
import json
import threading
import time

from tests.fleet import chat
from tests.load import first_budget_bill, wait_until

PREPAID_TOKENS = 60_000
DAEMONS = {'d1': 'a', 'd2': 'b', 'd3': 'c'}
QUESTION = 'Why does my kettle hum? [len=150]'


def start_fleet(fleet, *, tokens=PREPAID_TOKENS):
    for name in fleet.daemon_settings:
        fleet.start_daemon(name)
    fleet.key = fleet.create_team('cafes', tokens=tokens)
    wait_until(
        lambda: all(
            len(fleet.state(name)['members']) == len(DAEMONS)
            for name in fleet.daemon_settings
        )
    )


def is_bill_equal(fleet, load):
    """Tell whether the bill equals the sum of all answers."""
    row = first_budget_bill(fleet)
    assert row['settled'] <= row['prepaid']
    return row['settled'] == load.billed


def streamed_text(body):
    return ''.join(
        json.loads(line.removeprefix(b'data: '))['choices'][0]['delta'][
            'content'
        ]
        for line in body.splitlines()
        if line.startswith(b'data: {') and b'"delta"' in line
    )


class StreamedRequest:
    """One streamed request that runs in its own thread."""

    def __init__(self, fleet, daemon, key=''):
        self.answer = None
        self._call = (fleet.url(daemon), fleet.key, QUESTION)
        self._headers = {'Idempotency-Key': key} if key else {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        time.sleep(0.3)

    def _run(self):
        with contextlib.suppress(Exception):
            self.answer = chat(
                *self._call, max_tokens=200, headers=self._headers, stream=True
            )

    def wait(self):
        self._thread.join(20)
        return self.answer


def is_complete(answer):
    return answer is not None and b'data: [DONE]' in answer[2]
